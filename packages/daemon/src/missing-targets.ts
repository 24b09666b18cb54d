/**
 * Refuses requests that have no target, at once and not at their deadline. This
 * answers an evacuation of all zones of a service, or regions of a route without
 * targets: each request of the service is refused then, and the callers must not
 * all come back at the same time.
 */
import type { ResultName } from '@wisteriavalve/schema'
import { failExchange } from './completion.js'
import type { Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'

const RETRY_AFTER_MAX_MS = 1_000
const RETRY_AFTER_MIN_MS = 100
/** Share of the remaining time of the request after which the caller may come back, so it can still be served in time. */
const REMAINING_SHARE = 1 / 3

/** @param spread random number from 0 to 1 that spreads the return of callers */
export const missingTargetRetryAfterMs = (remainingMs: number, spread: number): number => {
  const maxMs = Math.max(RETRY_AFTER_MIN_MS, Math.min(RETRY_AFTER_MAX_MS, REMAINING_SHARE * remainingMs))
  return RETRY_AFTER_MIN_MS + spread * (maxMs - RETRY_AFTER_MIN_MS)
}

/** @param lastResult result of the previous attempt of the request */
export const failWithoutTarget = (context: PipelineContext, exchange: Exchange, lastResult?: ResultName): void => {
  const detail = exchange.runtime.table.zoneObstacle(exchange)
  const retryAfterMs = detail === undefined ? undefined : missingTargetRetryAfterMs(exchange.deadlineMs - context.clock.nowMs(), context.random.next())
  failExchange(context, exchange, exchange.unknownResult ?? lastResult ?? 'no-target', { detail, retryAfterMs })
}
