/**
 * HTTP/1.1 client for backend servers through undici, specified in section 2 of
 * docs/interfaces.md.
 *
 * When a socket closes with an informational error during a request, undici
 * puts the request back into the queue of its Client and writes it again on a
 * new connection. Three rules prevent a second write: each Client gets exactly
 * one socket, the Client is destroyed with its socket, and a request that is
 * started for the second time is aborted before it is written.
 *
 * undici also treats a connection reset as the normal end of a response without
 * a length, so socket errors are recorded before undici handles them. libuv
 * reports a reset that arrives together with the last bytes as a normal end;
 * such a socket is recognized by its missing remote address at that moment.
 *
 * undici does not limit informational heads, chunk extensions and bodies without
 * a length, and its limit of heads and trailers costs an error for each further
 * line. A response that exceeds the limits of response-limits.ts counts as
 * broken, and its connection is closed at once.
 *
 * Reading is held back at the socket and not in undici; see read-gate.ts. It is held
 * back as well while a target that has reported success early still gets the body; see
 * early-response.ts.
 */
import { connect, type Socket } from 'node:net'
import { resetSocket } from '@wisteriavalve/common'
import { Client, type Dispatcher } from 'undici'
import {
  BACKEND_IDLE_MS, CONNECT_TIMEOUT_MS, INFORMATIONAL_HEADS_MAX, RESPONSE_HEADER_BYTES_MAX, UNSIZED_RESPONSE_BYTES_MAX
} from '../constants.js'
import { rawHeader } from '../headers.js'
import { createChunkJoiner } from './chunk-joiner.js'
import { createEarlyResponseHold } from './early-response.js'
import { createHeldResponse, type HeldResponse } from './held-response.js'
import { guardBody, guardClient, guardConnection } from './library-guard.js'
import { createReadGate, type ReadGate, type ReadPace } from './read-gate.js'
import { createResponseLimits, isResponseStatus } from './response-limits.js'
import { createStreamedBodyChecks, type OutgoingBody } from './streamed-body.js'

export type BackendRequest = {
  method: string
  path: string
  /** Raw header list; includes content-length when the length of the body is known. */
  headers: string[]
  body: OutgoingBody
  /** Whether a response without a length may end with the connection. */
  allowsEndByClose?: boolean
  /** Longest time for which a success that comes early may wait for the rest of the body; without a limit by default. */
  earlyResponseMsMax?: number
}

export type BackendSocket = {
  client: Client
  socket: Socket
  readGate: ReadGate
  /** Whether the connection ended with an error. */
  hasFailed: () => boolean
  address: string
  /** Sets what ends the running request when undici throws an exception; undefined removes it. */
  setExceptionHandler: (handler: ((error: Error) => void) | undefined) => void
}

export type SendFailure =
  /** Nothing was written: the connection was lost first, or the final check refused the write. */
  | { kind: 'not-sent', message: string }
  /** undici rejected the request; nothing was written. */
  | { kind: 'request-invalid', message: string }
  | { kind: 'second-start', message: string }
  /** The connection was lost after the request was written and before the response head. */
  | { kind: 'lost', message: string }
  /** The response broke off after its head or cannot be passed on. */
  | { kind: 'broken', message: string }

export type SendHandler = {
  /** Final check, made in the same turn of the event loop as the first write. */
  canWrite: () => boolean
  onWritten: () => void
  /** Called with the number of bytes of the request body that the socket has accepted, and with 0 when bytes of a response arrive that are held. */
  onBodyProgress: (sentBytes: number) => void
  onHead: (status: number, rawHeaders: string[], statusText: string) => void
  /**
   * Returns false to stop reading until resume is called. The bytes that were
   * read before are still passed on.
   */
  onData: (chunk: Buffer) => boolean
  onEnd: (rawTrailers: string[]) => void
  onFailure: (failure: SendFailure) => void
}

export type OutgoingRequest = {
  /** Continues reading after onData returned false. */
  resume: () => void
  /** Aborts the request without further calls of the handler; nothing more is written. */
  abort: () => void
}

/** Shared by all connections, because undici would otherwise create an error with a stack trace for each closed one. */
export const CLOSED_ERROR = new Error('the connection was closed by this node')

/**
 * Resets a connection. The backend server then cannot mistake a partial request for a complete one.
 * Without an error, undici takes the end of a socket for the end of a response without a length, also of
 * one whose request was aborted, which fails an assertion.
 */
export const closeBackendSocket = ({ client, socket }: Pick<BackendSocket, 'client' | 'socket'>): void => {
  resetSocket(socket, CLOSED_ERROR)
  client.destroy(CLOSED_ERROR, () => undefined)
}

/** Opens a connection and calls exactly one of onOpen and onFail, once. */
export const openBackendSocket = (
  target: { host: string, port: number }, onOpen: (opened: BackendSocket) => void, onFail: (message: string) => void
): void => {
  const address = `${target.host}:${target.port}`
  const socket = connect({ host: target.host, port: target.port, noDelay: true, keepAlive: true, keepAliveInitialDelay: 10_000 })
  const fail = (message: string): void => {
    socket.removeAllListeners()
    socket.on('error', () => undefined)
    socket.destroy()
    onFail(message)
  }
  const onError = (error: Error): void => fail(error.message)
  // After a pause of this process, the timer fires before the event of a connection that opened during the pause.
  socket.setTimeout(CONNECT_TIMEOUT_MS, () => setImmediate(() => {
    if (socket.connecting) fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`)
  }))
  socket.once('error', onError)
  socket.once('connect', () => {
    socket.setTimeout(0)
    socket.removeAllListeners('timeout')
    // undici listens for errors only from the first request on; an unhandled error before it would end the process.
    let hadError = false
    socket.off('error', onError).on('error', () => { hadError = true })
    let onException: ((error: Error) => void) | undefined
    const connection = { side: 'target', address } as const
    const client = createClient(target, socket)
    guardConnection(socket, connection, error => onException?.(error))
    guardClient(client, connection, error => onException?.(error))
    onOpen({
      client,
      socket,
      readGate: createReadGate(socket),
      // remoteAddress must be read only at the end of a response, because node:net caches the first result.
      hasFailed: () => hadError || socket.remoteAddress === undefined,
      address,
      setExceptionHandler: handler => { onException = handler }
    })
  })
}

const origin = ({ host, port }: { host: string, port: number }): string => `http://${host.includes(':') ? `[${host}]` : host}:${port}`

const createClient = (target: { host: string, port: number }, socket: Socket): Client => {
  let isUsed = false
  return new Client(origin(target), {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: BACKEND_IDLE_MS,
    // Never reached, because response-limits.ts ends a response before.
    maxHeaderSize: 2 * RESPONSE_HEADER_BYTES_MAX,
    connect: (_options, callback) => {
      const isFirst = !isUsed
      isUsed = true
      // undici expects an asynchronous callback; a microtask still runs in this turn of the event loop.
      queueMicrotask(() => isFirst ? callback(null, socket) : callback(new Error('the connection was closed'), null))
    }
  })
}

const decodeHeaders = (raw: readonly (Buffer | string)[]): string[] =>
  raw.map(item => typeof item === 'string' ? item : item.toString('latin1'))

/** Whether the end of the response is known from its head. */
const hasAnnouncedEnd = (method: string, status: number, headers: readonly string[]): boolean =>
  method === 'HEAD' || status === 204 || status === 304 || rawHeader(headers, 'content-length') !== undefined

/**
 * Whether only the end of the connection marks the end of the response. Such an
 * end cannot be distinguished from a broken connection, and a partial response
 * could be passed on as a complete one.
 */
const isDelimitedByClose = (method: string, status: number, headers: readonly string[]): boolean =>
  !hasAnnouncedEnd(method, status, headers) && !/\bchunked\s*$/i.test(rawHeader(headers, 'transfer-encoding') ?? '')

export const sendRequest = (backend: BackendSocket, request: BackendRequest, handler: SendHandler): OutgoingRequest => {
  let startCount = 0
  let isWritten = false
  let hasHead = false
  let endsByClose = false
  let hasLength = false
  let informationalHeadCount = 0
  let held: HeldResponse | undefined
  const limits = createResponseLimits()
  let isFinished = false
  /** Ends undici's parsing of the response; without it, undici goes on with what it has read. */
  let abortParsing: (error?: Error) => void = () => undefined
  const collectedBody = Buffer.isBuffer(request.body) ? request.body : null
  const streamed = request.body !== null && !Buffer.isBuffer(request.body) ? request.body : undefined

  const earlyResponse = createEarlyResponseHold(request.earlyResponseMsMax, backend.readGate.passHeldPiece)
  if (!streamed) earlyResponse.end()

  const finish = (): void => {
    isFinished = true
    earlyResponse.end()
    held?.drop()
    backend.readGate.setPacing(undefined)
    backend.readGate.release()
    backend.setExceptionHandler(undefined)
  }

  const destroy = (): void => {
    finish()
    closeBackendSocket(backend)
    streamed?.stream.destroy()
  }

  const fail = (failure: SendFailure): void => {
    if (isFinished) return
    destroy()
    handler.onFailure(failure)
  }

  const onException = (error: Error): void => fail({ kind: hasHead ? 'broken' : isWritten ? 'lost' : 'not-sent', message: `the HTTP client threw an exception: ${error.message}` })

  const choosePace = (): ReadPace => {
    const exceeded = limits.exceeded()
    if (exceeded === undefined) return limits.pace()
    fail({ kind: hasHead ? 'broken' : 'lost', message: exceeded })
    return 'stop'
  }

  /** Runs the final check directly before the first byte is written. */
  const allowWrite = (): boolean => {
    if (isFinished) return false
    if (isWritten) return true
    // undici closes a used connection on which bytes arrive without a request; a new one it has not read yet.
    if (backend.socket.readableLength > 0) {
      fail({ kind: 'not-sent', message: 'the backend server sent bytes before the request' })
      return false
    }
    if (!handler.canWrite()) {
      fail({ kind: 'not-sent', message: 'the final check before the write refused the request' })
      return false
    }
    isWritten = true
    backend.setExceptionHandler(onException)
    backend.readGate.setPacing({ choosePace, onPiece: limits.recordPiece, holdsBack: piece => !hasHead && earlyResponse.tryHold(piece) })
    handler.onWritten()
    return true
  }

  if (streamed) guardBody(streamed.stream, { side: 'target', address: backend.address }, onException)
  const bodyChecks = streamed && createStreamedBodyChecks(streamed, allowWrite, fail)

  const onConnect = (abort: (error?: Error) => void): void => {
    startCount++
    abortParsing = abort
    if (startCount > 1) fail({ kind: 'second-start', message: 'the HTTP client started the request a second time' })
    else if (bodyChecks) bodyChecks.start()
    else allowWrite()
    if (isFinished) abort(new Error('the request was aborted'))
  }

  const passOn = (chunk: Buffer): void => { if (!isFinished && !handler.onData(chunk)) backend.readGate.hold() }

  const onHeaders = (status: number, raw: Buffer[], _resume: () => void, statusText: string): boolean => {
    if (isFinished) return true
    if (!isResponseStatus(status)) {
      fail({ kind: 'broken', message: `the response has the status ${status}` })
      abortParsing()
      return true
    }
    if (status < 200) {
      informationalHeadCount++
      if (informationalHeadCount > INFORMATIONAL_HEADS_MAX) fail({ kind: 'lost', message: `more than ${INFORMATIONAL_HEADS_MAX} informational heads` })
      return true
    }
    const headers = decodeHeaders(raw)
    hasHead = true
    limits.recordHead()
    hasLength = hasAnnouncedEnd(request.method, status, headers)
    endsByClose = isDelimitedByClose(request.method, status, headers)
    if (endsByClose && !request.allowsEndByClose) fail({ kind: 'broken', message: 'the response has neither a content-length nor chunked encoding' })
    else if (endsByClose) held = createHeldResponse(() => handler.onHead(status, headers, statusText), passOn)
    else handler.onHead(status, headers, statusText)
    return true
  }

  const onComplete = (trailers: readonly (Buffer | string)[] | null): void => {
    if (isFinished) return
    if (endsByClose && backend.hasFailed()) {
      fail({ kind: 'broken', message: 'the connection was reset before the response ended' })
      return
    }
    body.flush()
    held?.release()
    if (isFinished) return
    finish()
    handler.onEnd(decodeHeaders(trailers ?? []))
  }

  const onError = (error: Error & { code?: string }): void => {
    if (error.code === 'UND_ERR_INVALID_ARG' || error.code === 'UND_ERR_NOT_SUPPORTED') fail({ kind: 'request-invalid', message: error.message })
    else if (!isWritten) fail({ kind: 'not-sent', message: error.message })
    else fail({ kind: hasHead ? 'broken' : 'lost', message: error.message })
  }

  // undici passes the bytes here, although its types announce their number.
  const onBodySent = (chunk: unknown): void => {
    const sizeBytes = Buffer.isBuffer(chunk) ? chunk.length : 0
    bodyChecks?.recordSent(sizeBytes)
    earlyResponse.recordProgress()
    if (!isFinished) handler.onBodyProgress(sizeBytes)
  }
  const body = createChunkJoiner(chunk => {
    if (isFinished) return
    if (held?.add(chunk)) handler.onBodyProgress(0)
    else passOn(chunk)
  })
  const onData = (chunk: Buffer): boolean => {
    if (isFinished) return true
    limits.recordBody(chunk.length)
    if (!hasLength && limits.bodyBytes() > UNSIZED_RESPONSE_BYTES_MAX) fail({ kind: 'broken', message: `a response without a length is larger than ${UNSIZED_RESPONSE_BYTES_MAX} bytes` })
    else body.add(chunk)
    return true
  }

  // undici calls onRequestSent when it has written all of the request; its types leave that out.
  const undiciHandler: Dispatcher.DispatchHandler & { onRequestSent: () => void } =
    { onConnect, onHeaders, onData, onComplete, onError, onBodySent, onRequestSent: earlyResponse.end }
  backend.client.dispatch(
    { method: request.method as 'GET', path: request.path, headers: request.headers, body: streamed?.stream ?? collectedBody },
    undiciHandler
  )
  return { resume: () => { if (!isFinished) backend.readGate.release() }, abort: () => { if (!isFinished) destroy() } }
}
