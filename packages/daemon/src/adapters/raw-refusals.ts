/**
 * Refusals of bytes that are no request, for which node:http creates no response.
 * Requests in front of them get their answers first.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { resultCode, type ResultName } from '@wisteriavalve/schema'
import type { Call, CallerServerOptions } from './caller-http.js'
import { endSocket } from './connection-end.js'
import { failureBody } from './failure-body.js'

/** Connections of callers on which no further request is processed. */
export type ClosingSockets = WeakSet<Duplex>

const PARSE_ERROR_RESULTS: Record<string, ResultName> = { HPE_HEADER_OVERFLOW: 'header-too-large', ERR_HTTP_REQUEST_TIMEOUT: 'caller-too-slow' }

/** Raw failure response for a connection on which node:http has created no response object. */
export const rawFailureResponse = (name: ResultName): string => {
  const { code, class: resultClass, status = 400 } = resultCode(name)
  const body = failureBody(name)
  const retryAfter = status === 429 || status === 503 ? 'retry-after: 1\r\n' : ''
  return `HTTP/1.1 ${status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\n${retryAfter}x-result-code: ${code}\r\nx-result-class: ${resultClass}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

/** Refusals of connections whose last bytes are no request, until the requests in front of them are answered. */
export type RawRefusals = {
  refuse: (socket: Duplex, name: ResultName) => void
  /** To be called when all requests of a connection are answered. */
  onAnswered: (socket: Duplex) => void
}

export type RefusalState = {
  openCalls: WeakMap<Duplex, Set<Call>>
  closingSockets: ClosingSockets
  /** The call whose body is not complete yet; bytes that are no request belong to that body. */
  unfinishedCall: (socket: Duplex) => Call | undefined
  /** Cancels a call whose body cannot be read to its end. */
  cancel: (call: Call) => void
}

export const createRawRefusals = ({ openCalls, closingSockets, unfinishedCall, cancel }: RefusalState): RawRefusals => {
  const pending = new WeakMap<Duplex, ResultName>()
  const send = (socket: Duplex, name: ResultName): void => {
    pending.delete(socket)
    if (socket.writable) endSocket(socket, rawFailureResponse(name))
    else socket.destroy()
  }
  return {
    refuse: (socket, name) => {
      closingSockets.add(socket)
      const unfinished = unfinishedCall(socket)
      const calls = openCalls.get(socket) ?? new Set()
      if (unfinished && calls.has(unfinished)) cancel(unfinished)
      // The request is answered; a second answer to it would be taken for that to another one.
      else if (unfinished) endSocket(socket)
      else if (calls.size > 0) pending.set(socket, name)
      else send(socket, name)
    },
    onAnswered: socket => {
      const name = pending.get(socket)
      if (name !== undefined) send(socket, name)
    }
  }
}

/** Without a `clientError` listener, node:http would close the connection during the responses of other requests. */
export const handleMalformedRequests = (
  server: Server, refuse: RawRefusals['refuse'], closingSockets: ClosingSockets, onMalformed: CallerServerOptions['onMalformed']
): void => {
  server.on('clientError', (error: Error & { code?: string }, socket) => {
    // The bytes behind a malformed request are reported again while its refusal is sent.
    if (closingSockets.has(socket)) return
    const name = PARSE_ERROR_RESULTS[error.code ?? ''] ?? 'request-malformed'
    if (error.code !== 'ECONNRESET' && error.code !== 'EPIPE') onMalformed(name, (socket as Socket).remoteAddress ?? '', error.message)
    if (error.code === 'ECONNRESET') socket.destroy()
    else refuse(socket, name)
  })
  server.on('connect', (_req, socket) => refuse(socket, 'request-malformed'))
}
