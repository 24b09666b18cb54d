/**
 * Relays a response from the backend server to the caller. The caller receives
 * the complete response of one attempt or a broken connection, never a partial
 * response that looks complete.
 */
import { STATUS_CODES } from 'node:http'
import { findResponseOwner, type AttemptFailure, type ResponseOwner } from '@wisteriavalve/policy'
import { canHaveTrailers } from './adapters/response-head.js'
import { LINGER_MS, REPLAY_BYTES_MAX } from './constants.js'
import { abandonAttempt, finishAttempt, type Attempt } from './exchange.js'
import { rawHeader } from './headers.js'
import type { PipelineContext } from './pipeline-context.js'
import { completeExchange, isolateErrors } from './completion.js'
import { isRefusedByPeer, passOverPeer, resultHeaders } from './relaying.js'
import { findContradiction } from './response-consistency.js'
import { createResponseWriter } from './response-writer.js'
import { recordStatedLimit } from './target-permits.js'

/** Reason phrases that node:http writes. */
const FORWARDED_PHRASE = /^[\t\x20-\x7e]*$/
/** Control characters, and what undici puts in place of bytes that are not UTF-8. */
const SPOILED_PHRASE = /[^\P{Cc}\t]|\ufffd/u

export type HeadOutcome =
  | { step: 'relayed' }
  /** The backend server did not run the request. The response is dropped. */
  | { step: 'refused' }
  /** The response is dropped in favour of a retry, which is already taken from the budget. */
  | { step: 'retry' }
  | { step: 'failed', message: string }
  | { step: 'late' }

export type ResponseHead = { status: number, headers: string[], statusText: string, atMs: number }

/**
 * Records the state that the backend server reports in its response; returns
 * whether it refused the request.
 */
const recordResponseSignals = (context: PipelineContext, attempt: Attempt, { status, headers, atMs: nowMs }: ResponseHead): boolean => {
  const { exchange, table, targetId, writtenMs } = attempt
  const { dialect, relaying } = context
  relaying.responses.recordSuccess()
  const header = (name: string): string | undefined => rawHeader(headers, name)
  // Another server answers at this address, so the intended target is gone.
  if (dialect.isWrongTarget(status)) {
    table.recordDraining(targetId, 'other-server', nowMs)
    return true
  }
  const isRefused = dialect.isNotRun(status, header)
  if (!isRefused) context.serviceTimes.record(exchange.kind.name, nowMs - (writtenMs ?? nowMs), attempt.slowdown)
  if (!isRefused) table.recordFirstByte(targetId, nowMs - (writtenMs ?? nowMs), nowMs)
  const report = dialect.parseLoadReport(header(dialect.loadReportHeader))
  if (report) table.recordLoadReport(targetId, report, nowMs)
  recordStatedLimit(context, attempt, dialect.readRequestLimit(header), nowMs)
  const pauseMs = dialect.readPauseMs(status, header)
  if (pauseMs !== undefined) table.recordPause(targetId, pauseMs, nowMs)
  if (dialect.isDraining(header)) table.recordDraining(targetId, 'response', nowMs)
  return isRefused
}

/** Records whether the response belongs to the request that was sent on its connection. */
const recordResponseOwner = ({ dialect }: PipelineContext, { exchange, pool, connection }: Attempt, headers: readonly string[]): ResponseOwner => {
  const owner = findResponseOwner({
    requestId: exchange.id,
    echoedId: rawHeader(headers, dialect.requestIdHeader.toLowerCase()),
    isFirstUse: connection?.useCount === 1,
    echoesIds: pool.echoesRequestIds(),
    isReuseTrusted: exchange.runtime.configuration.trustsReuse === true
  })
  if (connection) connection.lastResponseOwner = owner
  if (owner === 'own') pool.recordRequestIdEcho()
  else if (owner === 'foreign') pool.recordForeignResponse()
  return owner
}

/**
 * Finishes an attempt whose response is not used. A short remainder is read,
 * so the connection can be reused.
 */
const dropResponse = (context: PipelineContext, attempt: Attempt, outcome: AttemptFailure): void => {
  const nowMs = context.clock.nowMs()
  if (!attempt.exchange.body.isComplete() || attempt.exchange.body.isStreaming()) {
    abandonAttempt(attempt, outcome, nowMs)
    return
  }
  attempt.isDropped = true
  finishAttempt(attempt, outcome, nowMs)
  context.wheel.schedule(nowMs + LINGER_MS, () => { if (attempt.connection) abandonAttempt(attempt, outcome, context.clock.nowMs()) })
}

/** A reason phrase that cannot be written is replaced by the usual one of the status. Callers should ignore it anyway (RFC 9112, section 4). */
const forwardedPhrase = (status: number, statusText: string): string =>
  FORWARDED_PHRASE.test(statusText) ? statusText : STATUS_CODES[status] ?? ''

export type HeadHandlers = {
  /** Takes a retry after an error status from the budget. */
  tryTakeRetryAfterStatus: () => boolean
  /** Called if the head turns out to be unfit for the caller when it is written. */
  onRefused: (message: string) => void
}

export const onResponseHead = (context: PipelineContext, attempt: Attempt, head: ResponseHead, { tryTakeRetryAfterStatus, onRefused }: HeadHandlers): HeadOutcome => {
  const { exchange } = attempt
  const nowMs = head.atMs
  // Other bytes on the connection may be wrong as well.
  if (attempt.connection && SPOILED_PHRASE.test(head.statusText)) attempt.connection.isRetired = true
  if (recordResponseOwner(context, attempt, head.headers) === 'foreign') return { step: 'failed', message: 'the response belongs to another request' }
  const contradiction = attempt.isRelay ? undefined : findContradiction(context.dialect, head)
  if (contradiction !== undefined) return { step: 'failed', message: contradiction }
  const isRefused = attempt.isRelay ? isRefusedByPeer(head.headers) : recordResponseSignals(context, attempt, head)
  if (exchange.phase === 'settled' || (exchange.responder && exchange.responder !== attempt)) {
    abandonAttempt(attempt, 'cancelled', nowMs)
    return { step: 'late' }
  }
  if (isRefused) {
    if (attempt.isRelay) passOverPeer(context, attempt)
    dropResponse(context, attempt, 'refused')
    return exchange.attempts.length > 0 ? { step: 'late' } : { step: 'refused' }
  }
  // An error status must not end the request while another attempt is still running.
  if (head.status >= 500 && exchange.attempts.length > 1) {
    dropResponse(context, attempt, 'error-status')
    exchange.unknownResult ??= 'answer-broken'
    return { step: 'late' }
  }
  if (head.status >= 500 && !attempt.isRelay && tryTakeRetryAfterStatus()) {
    dropResponse(context, attempt, 'error-status')
    exchange.unknownResult ??= 'answer-broken'
    return { step: 'retry' }
  }
  return startRelay(context, attempt, head, onRefused)
}

const announcedBytes = (headers: readonly string[]): number | undefined => {
  const length = rawHeader(headers, 'content-length')
  return length === undefined ? undefined : Number(length)
}

const startRelay = (context: PipelineContext, attempt: Attempt, { status, headers, statusText, atMs }: ResponseHead, onRefused: HeadHandlers['onRefused']): HeadOutcome => {
  const { exchange } = attempt
  exchange.responder = attempt
  attempt.status = status
  if (exchange.hedgeTimer) context.wheel.cancel(exchange.hedgeTimer)
  if (exchange.attempts.length > 1) {
    for (const other of [...exchange.attempts]) if (other !== attempt) abandonAttempt(other, 'cancelled', atMs)
  }
  if (context.isLeaving() && exchange.call.isLatest()) exchange.call.closeAfter()
  const bodyBytes = announcedBytes(headers)
  const keepsTrailerField = canHaveTrailers(exchange.call.req, status, bodyBytes !== undefined)
  const forwarded = context.headers.response(headers, rawHeader(headers, 'connection'), keepsTrailerField)
  forwarded.push(context.dialect.requestIdHeader, exchange.id)
  if (attempt.isRelay) forwarded.push(...resultHeaders(headers))
  attempt.writer = createResponseWriter({
    call: exchange.call,
    head: { status, phrase: forwardedPhrase(status, statusText), headers: forwarded, bodyBytes },
    onRefused,
    onDrain: () => attempt.outgoingRequest?.resume(),
    schedule: (delayMs, step) => {
      const entry = context.wheel.schedule(atMs + delayMs, () => isolateErrors(context, exchange, step))
      return () => context.wheel.cancel(entry)
    }
  })
  return { step: 'relayed' }
}

/** @returns false if no more is to be read for now */
export const relayData = (attempt: Attempt, chunk: Buffer): boolean => attempt.writer?.write(chunk) ?? true

/** @returns false above the limit; the rest is not read, and a timer closes the connection */
export const dropData = (attempt: Attempt, chunk: Buffer): boolean => {
  attempt.droppedBytes += chunk.length
  return attempt.droppedBytes <= REPLAY_BYTES_MAX
}

export const endResponse = (context: PipelineContext, attempt: Attempt, rawTrailers: readonly string[]): void => {
  const { exchange, writer } = attempt
  const isRelayed = !attempt.isDropped && exchange.responder === attempt
  // A connection whose response cannot be written is not used again.
  if (isRelayed && !writer?.start()) return
  const { connection } = attempt
  attempt.connection = undefined
  if (connection) attempt.pool.release(connection)
  if (!isRelayed) return
  writer?.end(rawTrailers.length > 0 ? context.headers.trailers(rawTrailers) : [])
  completeExchange(context, attempt)
}
