/**
 * HTTP/1.1 towards backend servers through undici, specified in section 2 of
 * docs/interfaces.md.
 *
 * undici puts a request back into the queue of its Client, and writes it again
 * on a new connection, when the socket closes with an informational error
 * while the request runs. Three rules prevent a second write: each Client gets
 * exactly one socket, it is destroyed with its socket, and a request that is
 * started for the second time is aborted before it is written.
 *
 * undici also takes a connection reset for the ordinary end of a response
 * without a length, so errors of the socket are noted before undici sees them.
 * libuv in turn reports a reset that arrives together with the last bytes as
 * an ordinary end. Only a socket that was reset has no peer at that moment.
 */
import { connect, type Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { resetSocket } from '@wisteriavalve/common'
import { Client } from 'undici'
import { BACKEND_IDLE_MS, CONNECT_TIMEOUT_MS, RESPONSE_HEADER_BYTES_MAX } from '../constants.js'
import { rawHeader } from '../headers.js'

export type BackendRequest = {
  method: string
  path: string
  /** Raw header list; content-length is included when the body has one. */
  headers: string[]
  body: Buffer | Readable | null
  /** Whether the end of the connection ends a response that names no length. */
  allowsEndByClose?: boolean
}

export type BackendSocket = {
  client: Client
  socket: Socket
  /** Whether the connection ended with an error. */
  hasFailed: () => boolean
}

export type SendFailure =
  /** Nothing was written: the connection was lost before, or mayWrite refused. */
  | { kind: 'not-sent', message: string }
  /** undici does not accept the request; nothing was written. */
  | { kind: 'request-invalid', message: string }
  | { kind: 'second-start', message: string }
  /** Lost after the request was written and before the response head. */
  | { kind: 'lost', message: string }
  /** Lost after the response head. */
  | { kind: 'broken', message: string }

export type SendHandler = {
  /** Final check, made in the same turn of the event loop as the first write. */
  mayWrite: () => boolean
  onWritten: () => void
  /** Bytes of the request body were accepted by the socket. */
  onBodyProgress: () => void
  onHead: (status: number, rawHeaders: string[], statusText: string) => void
  /** False stops reading until resume is called. */
  onData: (chunk: Buffer) => boolean
  onEnd: (rawTrailers: string[]) => void
  onFailure: (failure: SendFailure) => void
}

export type Sending = {
  /** Continues to read after onData returned false. */
  resume: () => void
  /** Ends the attempt without a further call of the handler; nothing more is written. */
  abort: () => void
}

/** One error for all, since undici would make a new one with its stack for each closed connection. */
export const CLOSED = new Error('the connection was closed by this node')

/** Resets a connection, so that the backend server cannot take what it got for complete. */
export const closeBackendSocket = ({ client, socket }: Pick<BackendSocket, 'client' | 'socket'>): void => {
  resetSocket(socket)
  client.destroy(CLOSED, () => undefined)
}

/** Opens a connection and reports it once, either way. */
export const openBackendSocket = (
  target: { host: string, port: number }, onOpen: (opened: BackendSocket) => void, onFail: (message: string) => void
): void => {
  const socket = connect({ host: target.host, port: target.port, noDelay: true, keepAlive: true, keepAliveInitialDelay: 10_000 })
  const fail = (message: string): void => {
    socket.removeAllListeners()
    socket.on('error', () => undefined)
    socket.destroy()
    onFail(message)
  }
  const onError = (error: Error): void => fail(error.message)
  // After a pause of this process the timer runs before the event of a connection that opened meanwhile.
  socket.setTimeout(CONNECT_TIMEOUT_MS, () => setImmediate(() => {
    if (socket.connecting) fail(`no connection within ${CONNECT_TIMEOUT_MS} ms`)
  }))
  socket.once('error', onError)
  socket.once('connect', () => {
    socket.setTimeout(0)
    socket.removeAllListeners('timeout')
    // undici listens from the first request on; before it, an error would end the process.
    let hadError = false
    socket.off('error', onError).on('error', () => { hadError = true })
    // Asked for the first time at the end of a response, since node:net keeps the first answer.
    onOpen({ client: createClient(target, socket), socket, hasFailed: () => hadError || socket.remoteAddress === undefined })
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
    maxHeaderSize: RESPONSE_HEADER_BYTES_MAX,
    connect: (_options, callback) => {
      const isFirst = !isUsed
      isUsed = true
      // undici expects the callback in a later step; a microtask stays in this turn of the event loop.
      queueMicrotask(() => isFirst ? callback(null, socket) : callback(new Error('the connection was closed'), null))
    }
  })
}

const decodeHeaders = (raw: readonly (Buffer | string)[]): string[] =>
  raw.map(item => typeof item === 'string' ? item : item.toString('latin1'))

/**
 * The end of such a response cannot be told from a connection that broke, so
 * it would be possible to pass on a part of a response as a whole one.
 */
const isDelimitedByClose = (method: string, status: number, headers: readonly string[]): boolean => {
  if (method === 'HEAD' || status === 204 || status === 304 || rawHeader(headers, 'content-length') !== undefined) return false
  return !/\bchunked\s*$/i.test(rawHeader(headers, 'transfer-encoding') ?? '')
}

export const sendRequest = (backend: BackendSocket, request: BackendRequest, handler: SendHandler): Sending => {
  let startCount = 0
  let isWritten = false
  let hasHead = false
  let endsByClose = false
  let isFinished = false
  let resumeReading: () => void = () => undefined
  const stream = request.body !== null && !Buffer.isBuffer(request.body) ? request.body : undefined

  const destroy = (): void => {
    isFinished = true
    closeBackendSocket(backend)
    stream?.destroy()
  }

  const fail = (failure: SendFailure): void => {
    if (isFinished) return
    destroy()
    handler.onFailure(failure)
  }

  /** Decides directly before the first byte is written. */
  const allowWrite = (): boolean => {
    if (isFinished) return false
    if (isWritten) return true
    if (!handler.mayWrite()) {
      fail({ kind: 'not-sent', message: 'the request was no longer to be sent' })
      return false
    }
    isWritten = true
    handler.onWritten()
    return true
  }

  const onConnect = (abort: (error?: Error) => void): void => {
    startCount++
    if (startCount > 1) fail({ kind: 'second-start', message: 'the HTTP client started the request a second time' })
    // undici writes the head of a streamed request together with its first
    // chunk, and these listeners run directly before its own ones do that.
    else if (stream) stream.on('data', allowWrite).on('end', allowWrite).pause()
    else allowWrite()
    if (isFinished) abort(new Error('the request was given up'))
  }

  const onHeaders = (status: number, raw: Buffer[], resume: () => void, statusText: string): boolean => {
    if (isFinished || status < 200) return true
    const headers = decodeHeaders(raw)
    hasHead = true
    resumeReading = resume
    endsByClose = isDelimitedByClose(request.method, status, headers)
    if (endsByClose && !request.allowsEndByClose) fail({ kind: 'broken', message: 'the response has neither a content-length nor chunked encoding' })
    else handler.onHead(status, headers, statusText)
    return true
  }

  const onComplete = (trailers: readonly (Buffer | string)[] | null): void => {
    if (isFinished) return
    if (endsByClose && backend.hasFailed()) {
      fail({ kind: 'broken', message: 'the connection was reset before the response ended' })
      return
    }
    isFinished = true
    handler.onEnd(decodeHeaders(trailers ?? []))
  }

  const onError = (error: Error & { code?: string }): void => {
    if (error.code === 'UND_ERR_INVALID_ARG' || error.code === 'UND_ERR_NOT_SUPPORTED') fail({ kind: 'request-invalid', message: error.message })
    else if (!isWritten) fail({ kind: 'not-sent', message: error.message })
    else fail({ kind: hasHead ? 'broken' : 'lost', message: error.message })
  }

  const onBodySent = (): void => { if (!isFinished) handler.onBodyProgress() }
  const onData = (chunk: Buffer): boolean => isFinished || handler.onData(chunk)

  backend.client.dispatch(
    { method: request.method as 'GET', path: request.path, headers: request.headers, body: request.body },
    { onConnect, onHeaders, onData, onComplete, onError, onBodySent }
  )
  return { resume: () => { if (!isFinished) resumeReading() }, abort: () => { if (!isFinished) destroy() } }
}
