/**
 * Records the events of requests: sentences for explain, log lines, and counts
 * for metrics and the report. Routed requests are sampled, all failures are
 * recorded for explain, and the rate of log lines is limited.
 */
import type { Clock, EventRecord } from '@wisteriavalve/common'
import { resultCode, type EventEntry, type LogEventName, type ResultName } from '@wisteriavalve/schema'
import type { Call } from './adapters/caller-http.js'
import type { BurnBuckets } from './burn-buckets.js'
import { bodyFields, countShortSends } from './body-sends.js'
import { FAILURE_LINES_PER_S, RELAYED_BY_HEADER, ROUTE_EVENTS_PER_S, SAMPLE_LINES_PER_S } from './constants.js'
import type { Attempt, Exchange } from './exchange.js'
import type { Metrics } from './metrics.js'
import type { AttemptPurpose, RequestRecorder } from './pipeline-context.js'
import type { Log } from './types.js'

export type RequestRecorderOptions = { clock: Clock, events: EventRecord, log: Log, metrics: Metrics, burnBuckets: BurnBuckets, configurationRevision: () => number }

/** The header comes from outside. */
const NODE_ID_LENGTH_MAX = 128

type RateLimiter = { take: (nowMs: number) => boolean, takeSkipped: () => number }

const createRateLimiter = (max: number): RateLimiter => {
  let startMs = -Infinity
  let count = 0
  let skipped = 0
  return {
    take: nowMs => {
      if (nowMs - startMs >= 1_000) {
        startMs = nowMs
        count = 0
      }
      if (count++ < max) return true
      skipped++
      return false
    },
    takeSkipped: () => {
      const before = skipped
      skipped = 0
      return before
    }
  }
}

const PURPOSE_TEXT: Record<AttemptPurpose, string> = { first: 'was sent', retry: 'was sent again', hedge: 'was also sent' }

/**
 * The peer that relayed the request, if any, how many of its attempts were written to a
 * target as far as this node knows, and what they passed on of its body.
 */
const sendFields = (exchange: Exchange): Record<string, string | number | boolean> => {
  const { call, sendCount } = exchange
  const relayedBy = call.req.headers[RELAYED_BY_HEADER]
  return { ...(relayedBy !== undefined && { relayed_by: String(relayedBy).slice(0, NODE_ID_LENGTH_MAX) }), sent: sendCount, ...bodyFields(exchange) }
}

const describeRequest = ({ method, path, runtime }: Exchange): string => `${method} ${path.split('?', 1)[0]} of ${runtime.configuration.name}`

/** Describes a failure in one sentence for operators. */
const failureText = (exchange: Exchange, result: ResultName, targetId: string | undefined, detail: string | undefined): string => {
  const { class: resultClass, message } = resultCode(result)
  const where = targetId === undefined ? '' : ` on ${targetId}`
  const outcome = resultClass === 'not-run' ? 'was not run' : `may have run${where}`
  const attempts = exchange.attemptCount > 1 ? ` after ${exchange.attemptCount} attempts` : ''
  return `${describeRequest(exchange)} ${outcome}${attempts}: ${message}${detail === undefined ? '' : ` (${detail})`}.`
}

export const createRequestRecorder = ({ clock, events, log, metrics, burnBuckets, configurationRevision }: RequestRecorderOptions): RequestRecorder => {
  const routes = createRateLimiter(ROUTE_EVENTS_PER_S)
  const lines = createRateLimiter(FAILURE_LINES_PER_S)
  const samples = createRateLimiter(SAMPLE_LINES_PER_S)

  const add = (nowMs: number, entry: Omit<EventEntry, 'atMs' | 'wallMs'>): void =>
    events.add({ atMs: Math.round(nowMs), wallMs: Date.now(), ...entry })

  const writeLine = (nowMs: number, event: LogEventName, fields: Record<string, string | number | boolean>): void => {
    if (!lines.take(nowMs)) return
    const count = lines.takeSkipped()
    if (count > 0) log('lines_left_out', { count })
    log(event, fields)
  }

  const routed = (attempt: Attempt, purpose: AttemptPurpose, lastResult: ResultName | undefined): void => {
    const { exchange, targetId, reason, startedMs: nowMs } = attempt
    if (purpose === 'retry') metrics.increment('retries')
    if (purpose === 'hedge') metrics.increment('hedges')
    if (purpose !== 'first') {
      writeLine(nowMs, 'request_repeated', { request_id: exchange.id, service: exchange.runtime.configuration.name, kind: exchange.kind.name, purpose, target: targetId, reason, result: lastResult ?? '', attempts: exchange.attemptCount, ...sendFields(exchange), elapsed_ms: Math.round(nowMs - exchange.arrivedMs) })
    }
    if (purpose === 'first' && !routes.take(nowMs)) return
    add(nowMs, {
      event: 'request_routed',
      requestId: exchange.id,
      service: exchange.runtime.configuration.name,
      kind: exchange.kind.name,
      targetId,
      text: `${describeRequest(exchange)} ${PURPOSE_TEXT[purpose]} to ${targetId}: ${reason}.`
    })
  }

  const countShortBodies = (exchange: Exchange): void => {
    for (let count = countShortSends(exchange); count > 0; count--) metrics.increment('short_bodies')
  }

  const causeOf = (exchange: Exchange, status: number, nowMs: number): string | undefined =>
    status >= 500 ? `status-${status}` : nowMs > exchange.deadlineMs ? 'late' : undefined

  const answered = (exchange: Exchange, attempt: Attempt, nowMs: number): void => {
    const { configuration } = exchange.runtime
    metrics.countResult(configuration.name, exchange.kind, 'answered')
    countShortBodies(exchange)
    metrics.recordDuration(configuration.name, exchange.kind, 'answered', nowMs - exchange.arrivedMs)
    metrics.recordDispatch(configuration.name, exchange.kind, (attempt.writtenMs ?? nowMs) - exchange.arrivedMs)
    burnBuckets.count(configuration.name, exchange.kind, causeOf(exchange, attempt.status, nowMs), attempt.targetId, Date.now())
    logResponse(exchange, attempt, nowMs)
  }

  const logResponse = (exchange: Exchange, attempt: Attempt, nowMs: number): void => {
    const durationMs = nowMs - exchange.arrivedMs
    const objectiveMs = exchange.kind.objectiveMs ?? exchange.kind.deadlineMs
    const isNotable = durationMs > objectiveMs || exchange.attemptCount > 1 || attempt.status >= 400 || attempt.isRelay || countShortSends(exchange) > 0
    const fields = {
      request_id: exchange.id,
      service: exchange.runtime.configuration.name,
      kind: exchange.kind.name,
      target: attempt.targetId,
      status: attempt.status,
      attempts: exchange.attemptCount,
      ...sendFields(exchange),
      duration_ms: Math.round(durationMs),
      objective_ms: objectiveMs,
      sent_after_ms: Math.round((attempt.writtenMs ?? nowMs) - exchange.arrivedMs),
      reason: attempt.reason,
      configuration: configurationRevision()
    }
    if (isNotable) writeLine(nowMs, 'request_answered', fields)
    else if (samples.take(nowMs)) log('request_answered', fields)
  }

  const failed = (exchange: Exchange, result: ResultName, targetId: string | undefined, { detail, retryAfterMs }: { detail?: string, retryAfterMs?: number }): void => {
    const nowMs = clock.nowMs()
    const { code, class: resultClass } = resultCode(result)
    const service = exchange.runtime.configuration.name
    metrics.countResult(service, exchange.kind, code)
    countShortBodies(exchange)
    metrics.recordDuration(service, exchange.kind, resultClass, nowMs - exchange.arrivedMs)
    burnBuckets.count(service, exchange.kind, code, targetId, Date.now())
    const text = failureText(exchange, result, targetId, detail)
    add(nowMs, { event: 'request_failed', requestId: exchange.id, service, kind: exchange.kind.name, targetId, resultCode: code, text })
    writeLine(nowMs, 'request_failed', {
      request_id: exchange.id,
      service,
      kind: exchange.kind.name,
      target: targetId ?? '',
      result_code: code,
      result_class: resultClass,
      attempts: exchange.attemptCount,
      ...sendFields(exchange),
      duration_ms: Math.round(nowMs - exchange.arrivedMs),
      ...(exchange.firstWrittenMs !== undefined && { sent_after_ms: Math.round(exchange.firstWrittenMs - exchange.arrivedMs) }),
      ...(retryAfterMs !== undefined && { retry_after_ms: Math.round(retryAfterMs) }),
      configuration: configurationRevision(),
      message: text
    })
  }

  const refused = (call: Call, result: ResultName, detail: string | undefined): void =>
    malformed(result, call.address, detail, String(call.req.headers[call.dialect.requestIdHeader.toLowerCase()] ?? ''))

  const malformed = (result: ResultName, address: string, detail: string | undefined, requestId = ''): void => {
    const nowMs = clock.nowMs()
    const { code, message } = resultCode(result)
    metrics.increment('refused')
    const text = `A request from ${address} was not run: ${message}${detail === undefined ? '' : ` (${detail})`}.`
    add(nowMs, { event: 'request_failed', resultCode: code, text })
    writeLine(nowMs, 'request_failed', { request_id: requestId, caller: address, result_code: code, result_class: 'not-run', message: text })
  }

  const internalError = (error: unknown, requestId: string | undefined): void =>
    log('request_fault', { request_id: requestId ?? '', message: error instanceof Error ? error.stack ?? error.message : String(error) })

  const probed = (): void => metrics.increment('load_probes')

  const written = ({ table, targetId, isRelay }: Attempt): void => {
    if (isRelay) metrics.increment('relayed_requests')
    if (table.requestLimitPerS(targetId) !== undefined) metrics.increment('limited_target_requests')
  }

  const relayRefused = (): void => metrics.increment('refused_relays')

  const limitUnreadable = ({ exchange, targetId }: Attempt): void =>
    writeLine(clock.nowMs(), 'target_limit', { service: exchange.runtime.configuration.name, target: targetId, state: 'unreadable', request_id: exchange.id })

  return { routed, written, relayRefused, limitUnreadable, answered, failed, refused, malformed, probed, internalError }
}
