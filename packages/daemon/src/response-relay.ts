/**
 * The way of a response from the backend server to the caller. The caller gets
 * the whole response of one attempt or a broken connection, never a part that
 * looks whole.
 */
import type { AttemptFailure } from '@wisteriavalve/policy'
import { LINGER_MS, REPLAY_BYTES_MAX } from './constants.js'
import { abandonAttempt, finishAttempt, type Attempt } from './exchange.js'
import { rawHeader } from './headers.js'
import type { PipelineContext } from './pipeline-context.js'
import { completeExchange } from './settlement.js'

/** Above this size, copying costs more than a second buffer in the write. */
const JOINED_BYTES_MAX = 4_096

export type HeadStep =
  | { step: 'relayed' }
  /** The backend server did not run the request; the response is dropped. */
  | { step: 'refused' }
  /** The response is dropped for another attempt, which is already taken from the budget. */
  | { step: 'retry' }
  | { step: 'failed', message: string }
  | { step: 'late' }

export type ResponseHead = { status: number, headers: string[], statusText: string, atMs: number }

/** Takes note of what the backend server says about itself; returns whether it refused the request. */
const noteSigns = (context: PipelineContext, attempt: Attempt, { status, headers, atMs: nowMs }: ResponseHead): boolean => {
  const { exchange, table, targetId, writtenMs } = attempt
  const { wire } = context
  const header = (name: string): string | undefined => rawHeader(headers, name)
  // Whoever answers at the address now, the target that was meant is gone.
  if (wire.isWrongTarget(status)) {
    table.noteDraining(targetId, 'other-server', nowMs)
    return true
  }
  const isRefused = wire.isNotRun(status, header)
  if (!isRefused) context.workTimes.note(exchange.kind.name, nowMs - (writtenMs ?? nowMs), attempt.slowdown)
  if (!isRefused) table.noteFirstByte(targetId, nowMs - (writtenMs ?? nowMs), nowMs)
  const report = wire.parseLoadReport(header(wire.loadReportHeader))
  if (report) table.noteReport(targetId, report, nowMs)
  if (wire.drainingHeader !== undefined && header(wire.drainingHeader) === 'true') table.noteDraining(targetId, 'response', nowMs)
  return isRefused
}

/**
 * Whether the answer belongs to another request than the one that was sent on
 * its connection. A late or additional answer is found by the id that targets
 * repeat. Outside a dialect that demands this, another id counts only from a
 * target that has repeated one before.
 */
const isForeign = ({ wire }: PipelineContext, { exchange, pool }: Attempt, headers: readonly string[]): boolean => {
  const echoed = rawHeader(headers, wire.requestIdHeader.toLowerCase())
  if (echoed === exchange.id) pool.noteEcho()
  if (echoed === undefined) return false
  return echoed !== exchange.id && (wire.echoesRequestId || pool.repeatsIds())
}

/** Finishes an attempt whose response is not used; a short rest is read so that the connection can be kept. */
const dropResponse = (context: PipelineContext, attempt: Attempt, outcome: AttemptFailure): void => {
  const nowMs = context.clock.nowMs()
  if (!attempt.exchange.body.isComplete()) {
    abandonAttempt(attempt, outcome, nowMs)
    return
  }
  attempt.isDropped = true
  finishAttempt(attempt, outcome, nowMs)
  context.wheel.schedule(nowMs + LINGER_MS, () => { if (attempt.connection) abandonAttempt(attempt, outcome, context.clock.nowMs()) })
}

export const onResponseHead = (context: PipelineContext, attempt: Attempt, head: ResponseHead, takesRetryAfterStatus: () => boolean): HeadStep => {
  const { exchange } = attempt
  const nowMs = head.atMs
  if (isForeign(context, attempt, head.headers)) return { step: 'failed', message: 'the answer belongs to another request' }
  const isRefused = noteSigns(context, attempt, head)
  if (exchange.phase === 'settled' || (exchange.responder && exchange.responder !== attempt)) {
    abandonAttempt(attempt, 'cancelled', nowMs)
    return { step: 'late' }
  }
  if (isRefused) {
    dropResponse(context, attempt, 'refused')
    return exchange.attempts.length > 0 ? { step: 'late' } : { step: 'refused' }
  }
  // An error that comes before the answer of the other attempt must not end the request.
  if (head.status >= 500 && exchange.attempts.length > 1) {
    dropResponse(context, attempt, 'error-status')
    exchange.unknownResult ??= 'answer-broken'
    return { step: 'late' }
  }
  if (head.status >= 500 && takesRetryAfterStatus()) {
    dropResponse(context, attempt, 'error-status')
    exchange.unknownResult ??= 'answer-broken'
    return { step: 'retry' }
  }
  return begin(context, attempt, head)
}

const begin = (context: PipelineContext, attempt: Attempt, { status, headers, statusText, atMs }: ResponseHead): HeadStep => {
  const { exchange } = attempt
  const { res } = exchange.call
  exchange.responder = attempt
  attempt.status = status
  if (exchange.hedgeCheck) context.wheel.cancel(exchange.hedgeCheck)
  if (exchange.attempts.length > 1) {
    for (const other of [...exchange.attempts]) if (other !== attempt) abandonAttempt(other, 'cancelled', atMs)
  }
  if (context.isLeaving() && exchange.call.isLatest()) exchange.call.closeAfter()
  const forwarded = context.headers.response(headers, rawHeader(headers, 'connection'))
  forwarded.push(context.wire.requestIdHeader, exchange.id)
  try {
    res.writeHead(status, statusText, forwarded)
  } catch (error) {
    return { step: 'failed', message: error instanceof Error ? error.message : 'the head cannot be passed on' }
  }
  // node:http sends the head with the first bytes of the body; a body that lets wait for itself must not hold it back.
  process.nextTick(() => { if (exchange.phase === 'running' && !attempt.isFlushed) res.flushHeaders() })
  return { step: 'relayed' }
}

export const relayData = (attempt: Attempt, chunk: Buffer): boolean => {
  const { res } = attempt.exchange.call
  const isFirst = !attempt.isFlushed
  attempt.isFlushed = true
  // node:http joins the head and a first chunk into one write only when the chunk is a string.
  if (isFirst && chunk.length <= JOINED_BYTES_MAX ? res.write(chunk.toString('latin1'), 'latin1') : res.write(chunk)) return true
  res.once('drain', () => attempt.sending?.resume())
  return false
}

/** False at the limit: the rest is not worth reading, and the connection is closed by the timer. */
export const dropData = (attempt: Attempt, chunk: Buffer): boolean => {
  attempt.droppedBytes += chunk.length
  return attempt.droppedBytes <= REPLAY_BYTES_MAX
}

export const endResponse = (context: PipelineContext, attempt: Attempt, rawTrailers: readonly string[]): void => {
  const { exchange, connection } = attempt
  attempt.connection = undefined
  if (connection) attempt.pool.release(connection)
  if (attempt.isDropped || exchange.responder !== attempt) return
  const { res } = exchange.call
  const trailers = rawTrailers.length > 0 ? context.headers.trailers(rawTrailers) : []
  if (trailers.length > 0) res.addTrailers(trailers)
  res.end()
  completeExchange(context, attempt)
}
