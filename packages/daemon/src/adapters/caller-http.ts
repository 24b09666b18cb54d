/**
 * HTTP/1.1 server for callers, specified in section 1 of docs/interfaces.md.
 * node:http rejects conflicting framing (content-length together with
 * transfer-encoding, or two different lengths) before a request arrives here.
 */
import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import { resetSocket, type Clock } from '@wisteriavalve/common'
import type { CallerBounds } from '@wisteriavalve/fleet'
import { resultCode, type ResultName } from '@wisteriavalve/schema'
import { CALLER_IDLE_MS, HEADER_BYTES_MAX, HEAD_TIMEOUT_MS, LINGER_BYTES_MAX, LINGER_MS } from '../constants.js'
import type { HttpDialect } from '../http-dialect.js'
import { endSocket } from './connection-end.js'
import { failureBody } from './failure-body.js'
import { guardConnection } from './library-guard.js'
import { isFirstAndAlone } from './offered-upgrade.js'
import { createRawRefusals, handleMalformedRequests, rawFailureResponse, type ClosingSockets } from './raw-refusals.js'
import { writeResponseHead } from './response-head.js'
import { isInTurn, onTurn } from './response-turn.js'

/** A caller's request together with its response. */
export type Call = {
  req: IncomingMessage
  res: ServerResponse
  /** IP address of the caller. */
  address: string
  /** Time at which the head of the request was read. */
  arrivedMs: number
  expectsContinue: boolean
  dialect: HttpDialect
  /** Whether no later request was read on the same connection. */
  isLatest: () => boolean
  /** Closes the connection after this response; later requests on it are not processed. */
  closeAfter: () => void
  /** Whether the responses to all earlier requests on the connection have ended. */
  isInTurn: () => boolean
  /** Calls the listener when the call is in turn, soon if it is already. @returns a function that cancels this */
  onTurn: (listener: () => void) => () => void
  /**
   * Ends the connection in place of the rest of this response, in its turn. Earlier
   * responses reach the caller; later requests on the connection are cancelled.
   */
  breakOff: () => void
  /** Called when the response has ended or the caller has disconnected. */
  onClosed?: () => void
}

export type CallerServerOptions = {
  clock: Clock
  dialect: HttpDialect
  onCall: (call: Call) => void
  /** Reports an unexpected error of onCall; the caller receives a failure response. */
  onUnexpectedError: (error: unknown) => void
  /** Returns false to refuse the connection. */
  acceptConnection: (address: string) => boolean
  onConnectionClosed: (address: string) => void
  /** Reports a request that could not be parsed as HTTP. */
  onMalformed: (result: ResultName, address: string, reason: string) => void
}

export type CallerServer = {
  server: Server
  /** Sets limits from the configuration; they apply to new connections and requests. */
  setBounds: (bounds: CallerBounds) => void
  connectionCount: () => number
  /** Number of connections that were accepted since the start. */
  acceptedCount: () => number
  /** Connections go on being accepted, and requests read, but none is handled until `releaseCalls`. */
  holdCalls: () => void
  releaseCalls: () => void
}

export const hasBody = (req: IncomingMessage): boolean =>
  req.headers['transfer-encoding'] !== undefined || (req.headers['content-length'] !== undefined && req.headers['content-length'] !== '0')

/** Retry-After value when no better estimate is available. */
const DEFAULT_RETRY_AFTER_MS = 1_000

/**
 * Reads and discards the rest of a refused request body, limited in time and
 * size. Closing a socket with unread bytes would reset the connection, and the
 * caller could lose a response that it has not read yet.
 */
const discardBodyThenClose = ({ req, res }: Call): void => {
  let droppedBytes = 0
  const close = (): void => {
    clearTimeout(timer)
    res.end()
  }
  const timer = setTimeout(close, LINGER_MS)
  req.on('data', (chunk: Buffer) => {
    droppedBytes += chunk.length
    if (droppedBytes > LINGER_BYTES_MAX) close()
  }).once('end', close).once('error', close)
  req.resume()
}

const sendResponse = (call: Call, status: number, headers: string[], body: string): void => {
  const { req, res } = call
  const mustClose = hasBody(req) && !req.complete
  if (mustClose) call.closeAfter()
  // A refused head may have left its reason phrase behind.
  const phrase = STATUS_CODES[status] ?? 'Failed'
  writeResponseHead(req, res, { status, phrase, headers: [...headers, 'content-length', String(Buffer.byteLength(body))] })
  if (mustClose && req.method !== 'HEAD') {
    res.write(body)
    discardBodyThenClose(call)
  } else {
    res.end(body)
  }
}

export const sendJsonResponse = (call: Call, status: number, value: unknown, headers: string[] = []): void =>
  sendResponse(call, status, ['content-type', 'application/json', 'cache-control', 'no-store', ...headers], JSON.stringify(value))

/** Results of requests that should not come again. */
const FINAL_RESULTS: ReadonlySet<ResultName> = new Set(['request-crashes-targets'])

export type FailureOptions = { requestId?: string, retryAfterMs?: number, detail?: string }

const writeFailureResponse = (call: Call, name: ResultName, { requestId, retryAfterMs, detail }: FailureOptions): void => {
  const { code, class: resultClass, status = 500 } = resultCode(name)
  const headers = ['content-type', 'application/json', 'x-result-code', code, 'x-result-class', resultClass]
  if (requestId !== undefined) headers.push(call.dialect.requestIdHeader, requestId)
  if ((status === 429 || status === 503) && !FINAL_RESULTS.has(name)) headers.push('retry-after', call.dialect.formatRetryAfter(retryAfterMs ?? DEFAULT_RETRY_AFTER_MS))
  sendResponse(call, status, headers, failureBody(name, detail))
}

/**
 * Sends a failure response with a result code. Ends the connection in its place
 * when a response has begun, and when the failure cannot be written.
 * @throws the error that stopped the write
 */
export const sendFailureResponse = (call: Call, name: ResultName, options: FailureOptions): void => {
  if (call.res.headersSent) {
    call.breakOff()
    return
  }
  try {
    writeFailureResponse(call, name, options)
  } catch (error) {
    call.breakOff()
    throw error
  }
}

const ignoreError = (): void => undefined

/**
 * A caller that closes its side of the connection counts as disconnected:
 * node:http reports an aborted request, and the request is cancelled. A
 * half-closed connection cannot be distinguished from a closed one, so waiting
 * for it would also keep the requests of all disconnected callers running.
 */
export const createCallerServer = ({ clock, dialect, onCall, onUnexpectedError, acceptConnection, onConnectionClosed, onMalformed }: CallerServerOptions): CallerServer => {
  const openCalls = new WeakMap<Duplex, Set<Call>>()
  const latestCalls = new WeakMap<Duplex, Call>()
  const closingSockets: ClosingSockets = new WeakSet()
  /** Connections of callers on which a response has ended. */
  const answeredSockets = new WeakSet<Duplex>()
  let connectionCount = 0
  let acceptedCount = 0
  let held: Set<Call> | undefined
  const server = createServer({
    maxHeaderSize: HEADER_BYTES_MAX,
    headersTimeout: HEAD_TIMEOUT_MS,
    requestTimeout: 0,
    keepAliveTimeout: CALLER_IDLE_MS,
    connectionsCheckingInterval: 1_000,
    noDelay: true
  })
  // The limit of bytes applies. Above a number of lines, node:http would drop the others in silence, among them those of the framing.
  server.maxHeadersCount = 0

  /**
   * A reset would discard earlier responses that the caller has not read yet. It is
   * used where there are none, and where only it shows that the response is not whole.
   */
  const endConnection = ({ req, res }: Call): void => {
    const { socket } = req
    const endsWithConnection = res.headersSent && !res.chunkedEncoding && req.httpVersion === '1.0'
    if (endsWithConnection || !answeredSockets.has(socket)) {
      resetSocket(socket)
      return
    }
    req.resume()
    endSocket(socket)
  }

  const breakOff = (call: Call): void => {
    const { socket } = call.req
    closingSockets.add(socket)
    const calls = [...openCalls.get(socket) ?? []]
    const index = calls.indexOf(call)
    if (index >= 0) for (const later of calls.slice(index + 1)) close(later)
    call.onTurn(() => endConnection(call))
  }

  const createCall = (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): Call => {
    const call: Call = {
      req,
      res,
      address: req.socket.remoteAddress ?? '',
      arrivedMs: clock.nowMs(),
      expectsContinue,
      dialect,
      isLatest: () => latestCalls.get(req.socket) === call,
      closeAfter: () => {
        res.shouldKeepAlive = false
        closingSockets.add(req.socket)
      },
      isInTurn: () => isInTurn(res),
      onTurn: listener => onTurn(res, listener),
      breakOff: () => breakOff(call)
    }
    return call
  }

  const close = (call: Call): void => {
    held?.delete(call)
    const { socket } = call.req
    const calls = openCalls.get(socket)
    if (!calls?.delete(call)) return
    call.onClosed?.()
    if (calls.size === 0) refusals.onAnswered(socket)
  }

  const cancelUnfinished = (call: Call): void => {
    call.closeAfter()
    close(call)
    if (!call.res.headersSent) call.breakOff()
  }

  const refusals = createRawRefusals({
    openCalls,
    closingSockets,
    unfinishedCall: socket => {
      const call = latestCalls.get(socket)
      return call?.req.complete === false ? call : undefined
    },
    cancel: cancelUnfinished
  })

  const tryFailUnexpectedly = (call: Call): void => {
    try {
      sendFailureResponse(call, 'node-fault', {})
    } catch (error) {
      onUnexpectedError(error)
    }
  }

  const handle = (call: Call): void => {
    try {
      onCall(call)
    } catch (error) {
      onUnexpectedError(error)
      tryFailUnexpectedly(call)
    }
  }

  const accept = (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): void => {
    const { socket } = req
    // The caller resends a request that follows a closing response to another node, so it must not run here.
    if (closingSockets.has(socket)) {
      req.resume()
      return
    }
    const call = createCall(req, res, expectsContinue)
    openCalls.get(socket)?.add(call)
    if (req.headers.upgrade !== undefined && (hasBody(req) || !isFirstAndAlone(req))) call.closeAfter()
    latestCalls.set(socket, call)
    res.once('finish', () => answeredSockets.add(socket)).once('close', () => close(call)).on('error', ignoreError)
    if (held) held.add(call)
    else handle(call)
  }

  const releaseCalls = (): void => {
    const calls = held ?? []
    held = undefined
    for (const call of calls) handle(call)
  }

  // Runs before node:http adds its own listeners.
  server.prependListener('connection', (socket: Socket) => guardConnection(socket, { side: 'caller', address: socket.remoteAddress ?? '' }))
  server.on('request', (req, res) => accept(req, res, false))
  server.on('checkContinue', (req, res) => accept(req, res, true))
  server.on('checkExpectation', (req, res) => sendFailureResponse(createCall(req, res, false), 'request-malformed', { detail: 'the expectation is not supported' }))
  server.on('connection', (socket: Socket) => {
    const address = socket.remoteAddress ?? ''
    connectionCount++
    acceptedCount++
    const isAccepted = acceptConnection(address)
    const calls = new Set<Call>()
    openCalls.set(socket, calls)
    // node:http does not close the responses of pipelined requests that wait for an earlier response, and
    // the socket closes some turns of the event loop after the end of the caller's side.
    const closeCalls = (): void => { for (const call of [...calls]) close(call) }
    socket.once('end', closeCalls)
    socket.once('close', () => {
      connectionCount--
      closeCalls()
      if (isAccepted) onConnectionClosed(address)
    })
    if (isAccepted) return
    closingSockets.add(socket)
    endSocket(socket, rawFailureResponse('caller-limit'))
  })
  handleMalformedRequests(server, refusals.refuse, closingSockets, onMalformed)

  const setBounds = ({ headerBytesMax, headerTimeoutMs, idleTimeoutMs }: CallerBounds): void => {
    Object.assign(server, { maxHeaderSize: headerBytesMax })
    server.headersTimeout = headerTimeoutMs
    server.keepAliveTimeout = idleTimeoutMs
  }

  return {
    server,
    setBounds,
    connectionCount: () => connectionCount,
    acceptedCount: () => acceptedCount,
    holdCalls: () => { held ??= new Set() },
    releaseCalls
  }
}
