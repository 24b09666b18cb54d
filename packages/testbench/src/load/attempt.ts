/**
 * One attempt of a caller at one node. It uses node:http, which sends a
 * request at most once.
 */
import http from 'node:http'
import { checksum, CHECKSUM_HEADER, verifyResponseBody } from '../backend/response-body.js'
import type { Address, CallResult, KindLoad } from './types.js'

export type AttemptOptions = {
  agent: http.Agent
  address: Address
  kind: KindLoad
  path: string
  requestId: string
  /** Time until the caller's deadline. */
  timeoutMs: number
}

export type AttemptResult = {
  result: CallResult
  status: number
  code?: string
  answer?: 'own' | 'foreign' | 'broken'
  /** Whether the caller may send the request to the next address. */
  canTryNext: boolean
}

const UPLOAD_CHUNK_BYTES = 64 * 1024
/** Time that the caller waits beyond its deadline for a response of the node. */
const CALLER_TIMEOUT_MARGIN_MS = 2000
const UPLOAD_TIMEOUT_MARGIN_MS = 30_000

const sendBody = (request: http.ClientRequest, body: Buffer, uploadMs: number): void => {
  const chunkCount = Math.ceil(body.length / UPLOAD_CHUNK_BYTES)
  const pauseMs = uploadMs / Math.max(1, chunkCount)
  const sendFrom = (start: number): void => {
    if (request.destroyed) return
    const chunk = body.subarray(start, start + UPLOAD_CHUNK_BYTES)
    if (start + UPLOAD_CHUNK_BYTES >= body.length) {
      request.end(chunk)
      return
    }
    request.write(chunk, error => { if (!error) setTimeout(sendFrom, pauseMs, start + UPLOAD_CHUNK_BYTES) })
  }
  sendFrom(0)
}

const classifyResponse = (requestId: string, response: http.IncomingMessage, body: Buffer): AttemptResult => {
  const status = response.statusCode ?? 0
  const code = response.headers['x-result-code']
  if (typeof code === 'string') {
    const isNotRun = response.headers['x-result-class'] === 'not-run'
    return { result: isNotRun ? 'not-run' : 'outcome-unknown', status, code, canTryNext: isNotRun && (status === 502 || status === 503) }
  }
  if (status >= 500) return { result: 'backend-error', status, canTryNext: false }
  const announcedChecksum = response.headers[CHECKSUM_HEADER]
  return { result: 'in-time', status, answer: verifyResponseBody(requestId, typeof announcedChecksum === 'string' ? announcedChecksum : undefined, body), canTryNext: false }
}

const createHeaders = ({ kind, requestId, timeoutMs }: AttemptOptions, body: Buffer): http.OutgoingHttpHeaders => ({
  'x-request-id': requestId,
  ...(kind.boundedBy === 'deadline' ? { 'x-request-timeout-ms': Math.max(1, Math.round(timeoutMs)) } : {}),
  ...(kind.bodyBytes > 0 ? { 'content-length': body.length, [CHECKSUM_HEADER]: checksum(body) } : {})
})

export const attempt = (options: AttemptOptions): Promise<AttemptResult> =>
  new Promise(resolve => {
    const { kind, address, agent, path, requestId } = options
    const body = kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, requestId) : Buffer.alloc(0)
    let isConnected = false
    const request = http.request({ agent, host: address.host, port: address.port, method: kind.method, path, headers: createHeaders(options, body) })
    const clientTimeoutMs = kind.boundedBy === 'progress' ? kind.uploadMs + UPLOAD_TIMEOUT_MARGIN_MS : options.timeoutMs + CALLER_TIMEOUT_MARGIN_MS
    const timer = setTimeout(() => finish({ result: 'outcome-unknown', status: 0, code: 'caller-timeout', canTryNext: false }), clientTimeoutMs)
    const finish = (result: AttemptResult): void => {
      clearTimeout(timer)
      resolve(result)
      if (result.status === 0) request.destroy()
    }
    request.on('socket', socket => {
      if (!socket.connecting) isConnected = true
      else socket.once('connect', () => { isConnected = true })
    })
    request.on('error', error => {
      const code = (error as NodeJS.ErrnoException).code ?? 'error'
      finish(isConnected
        ? { result: 'outcome-unknown', status: 0, code, canTryNext: false }
        : { result: 'not-run', status: 0, code, canTryNext: true })
    })
    request.on('response', response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', error => finish({ result: 'outcome-unknown', status: 0, code: (error as NodeJS.ErrnoException).code ?? 'error', canTryNext: false }))
      response.on('end', () => finish(classifyResponse(requestId, response, Buffer.concat(chunks))))
    })
    if (kind.bodyBytes > 0) sendBody(request, body, kind.uploadMs)
    else request.end()
  })
