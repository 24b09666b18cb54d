/**
 * One attempt of a caller at one node, over Node's own HTTP client, which
 * sends a request at most once.
 */
import http from 'node:http'
import { checksum, CHECKSUM_HEADER, verifyAnswer } from '../backend/answer.js'
import type { Address, CallResult, KindLoad } from './types.js'

export type AttemptOptions = {
  agent: http.Agent
  address: Address
  kind: KindLoad
  path: string
  requestId: string
  /** Time left in which the answer is of use. */
  timeoutMs: number
}

export type AttemptResult = {
  result: CallResult
  status: number
  code?: string
  answer?: 'own' | 'foreign' | 'broken'
  /** True when the caller may try the next address. */
  tryNext: boolean
}

const UPLOAD_CHUNK_BYTES = 64 * 1024
const CALLER_PATIENCE_MS = 2000
const UPLOAD_PATIENCE_MS = 30_000

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

const judge = (requestId: string, response: http.IncomingMessage, body: Buffer): AttemptResult => {
  const status = response.statusCode ?? 0
  const code = response.headers['x-result-code']
  if (typeof code === 'string') {
    const notRun = response.headers['x-result-class'] === 'not-run'
    return { result: notRun ? 'not-run' : 'outcome-unknown', status, code, tryNext: notRun && (status === 502 || status === 503) }
  }
  if (status >= 500) return { result: 'backend-error', status, tryNext: false }
  const announced = response.headers[CHECKSUM_HEADER]
  return { result: 'in-time', status, answer: verifyAnswer(requestId, typeof announced === 'string' ? announced : undefined, body), tryNext: false }
}

const headersOf = ({ kind, requestId, timeoutMs }: AttemptOptions, body: Buffer): http.OutgoingHttpHeaders => ({
  'x-request-id': requestId,
  ...(kind.boundedBy === 'deadline' ? { 'x-request-timeout-ms': Math.max(1, Math.round(timeoutMs)) } : {}),
  ...(kind.bodyBytes > 0 ? { 'content-length': body.length, [CHECKSUM_HEADER]: checksum(body) } : {})
})

export const attempt = (options: AttemptOptions): Promise<AttemptResult> =>
  new Promise(resolve => {
    const { kind, address, agent, path, requestId } = options
    const body = kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, requestId) : Buffer.alloc(0)
    let connected = false
    const request = http.request({ agent, host: address.host, port: address.port, method: kind.method, path, headers: headersOf(options, body) })
    const patienceMs = kind.boundedBy === 'progress' ? kind.uploadMs + UPLOAD_PATIENCE_MS : options.timeoutMs + CALLER_PATIENCE_MS
    const timer = setTimeout(() => finish({ result: 'outcome-unknown', status: 0, code: 'caller-timeout', tryNext: false }), patienceMs)
    const finish = (result: AttemptResult): void => {
      clearTimeout(timer)
      resolve(result)
      if (result.status === 0) request.destroy()
    }
    request.on('socket', socket => {
      if (!socket.connecting) connected = true
      else socket.once('connect', () => { connected = true })
    })
    request.on('error', error => {
      const code = (error as NodeJS.ErrnoException).code ?? 'error'
      finish(connected
        ? { result: 'outcome-unknown', status: 0, code, tryNext: false }
        : { result: 'not-run', status: 0, code, tryNext: true })
    })
    request.on('response', response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', error => finish({ result: 'outcome-unknown', status: 0, code: (error as NodeJS.ErrnoException).code ?? 'error', tryNext: false }))
      response.on('end', () => finish(judge(requestId, response, Buffer.concat(chunks))))
    })
    if (kind.bodyBytes > 0) sendBody(request, body, kind.uploadMs)
    else request.end()
  })
