import { isResponseStatus } from './response-limits.js'
/**
 * Sends a request with undici and collects its response, which is small: the
 * documents of the platform, calls between nodes and health probes. undici's
 * parser is not paused meanwhile, since it asserts that it is not when the
 * connection ends (see read-gate.ts); a limit on the size takes the place of flow
 * control. Responses are parsed in small pieces, so a server that sends costly
 * bytes without end does not stop other work.
 */
import { Agent, buildConnector, type Dispatcher } from 'undici'
import { rawHeader } from '../headers.js'
import { createChunkJoiner } from './chunk-joiner.js'
import { guardConnection } from './library-guard.js'
import { createReadGate } from './read-gate.js'

export type SmallRequest = {
  method: 'GET' | 'POST'
  headers?: Record<string, string>
  body?: string
  /** Whether the connection is closed after the response. */
  closesConnection?: boolean
}

export type SmallResponse = {
  status: number
  /** Value of the first header with this name, in lower case. */
  header: (name: string) => string | undefined
  body: Uint8Array
}

export type SmallRequestClient = {
  /** @throws the reason of the signal, and errors of the connection or of the response */
  send: (url: string | URL, request: SmallRequest, signal: AbortSignal) => Promise<SmallResponse>
  close: () => Promise<void>
}

export type SmallRequestOptions = {
  /** Maximum size of a response body. */
  bytesMax: number
  /** Maximum number of connections to one address. */
  connectionsMax: number
  connectTimeoutMs: number
  keepAliveMs?: number
}

const createPacedConnector = (timeoutMs: number): buildConnector.connector => {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    const [error, socket] = result
    if (error === null) {
      guardConnection(socket, { side: 'client', address: `${options.hostname}:${options.port}` })
      createReadGate(socket).setPacing({ choosePace: () => socket.destroyed ? 'stop' : 'piecewise', onPiece: () => undefined })
    }
    callback(...result)
  })
}

/** Collects one response; undici calls it. */
const createCollector = (
  bytesMax: number, signal: AbortSignal, resolve: (response: SmallResponse) => void, reject: (error: unknown) => void
): Dispatcher.DispatchHandler => {
  const chunks: Buffer[] = []
  const joiner = createChunkJoiner(chunk => chunks.push(chunk))
  let sizeBytes = 0
  let status = 0
  let headers: string[] = []
  let abort: (error: Error) => void = () => undefined

  const fail = (error: unknown): void => {
    signal.removeEventListener('abort', onAbort)
    reject(error)
  }

  const stop = (message: string): void => {
    const error = new Error(message)
    fail(error)
    abort(error)
  }

  const onAbort = (): void => {
    fail(signal.reason)
    abort(new Error('the request was aborted'))
  }

  signal.addEventListener('abort', onAbort)

  return {
    onConnect: abortRequest => {
      abort = abortRequest
      if (signal.aborted) abortRequest(new Error('the request was aborted'))
    },
    onHeaders: (code, raw) => {
      if (!isResponseStatus(code)) stop(`the response has the status ${code}`)
      status = code
      headers = raw.map(value => value.toString('latin1'))
      return true
    },
    onData: chunk => {
      sizeBytes += chunk.length
      if (sizeBytes > bytesMax) stop(`the response is larger than ${bytesMax} bytes`)
      else joiner.add(chunk)
      return true
    },
    onComplete: () => {
      joiner.flush()
      signal.removeEventListener('abort', onAbort)
      resolve({ status, header: name => rawHeader(headers, name), body: Buffer.concat(chunks, sizeBytes) })
    },
    onError: fail
  }
}

export const createSmallRequestClient = ({ bytesMax, connectionsMax, connectTimeoutMs, keepAliveMs }: SmallRequestOptions): SmallRequestClient => {
  const agent = new Agent({
    connections: connectionsMax,
    pipelining: 1,
    connect: createPacedConnector(connectTimeoutMs),
    ...(keepAliveMs !== undefined && { keepAliveTimeout: keepAliveMs })
  })

  const send: SmallRequestClient['send'] = (url, { method, headers, body, closesConnection }, signal) => new Promise((resolve, reject) => {
    if (signal.aborted) {
      reject(signal.reason)
      return
    }
    const { origin, pathname, search } = new URL(url)
    agent.dispatch(
      { origin, path: pathname + search, method, ...(headers && { headers }), ...(body !== undefined && { body }), ...(closesConnection && { reset: true }) },
      createCollector(bytesMax, signal, resolve, reject)
    )
  })

  return { send, close: () => agent.destroy() }
}
