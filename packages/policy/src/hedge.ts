/**
 * Decides whether a second attempt is sent while the first attempt has not
 * received its first byte (Dean and Barroso, The Tail at Scale, 2013).
 */
import type { HedgeDecision, HedgeState, RetryBudget } from './types.js'

/** A hedge with less than this share of the hedge delay left before the deadline would not be answered in time. */
const TIME_LEFT_SHARE = 0.5

/** An attempt counts as slow only after this many times its usual service time. */
const SLOW_SERVICE_TIMES = 1.35
/** Time reserved for the second attempt, in units of the usual service time. */
const RESERVE_SERVICE_TIMES = 1.15

/**
 * Latest delay of a second attempt that can still be answered within the
 * objective. Undefined when the first attempt would not count as slow by then.
 *
 * @param remainingMs time from the first attempt to the end of the objective
 * @param serviceTimeMs usual service time of such a request
 */
export const objectiveHedgeDelayMs = (remainingMs: number, serviceTimeMs: number): number | undefined => {
  const delayMs = remainingMs - RESERVE_SERVICE_TIMES * serviceTimeMs
  return delayMs >= SLOW_SERVICE_TIMES * serviceTimeMs ? delayMs : undefined
}

/**
 * Call when the attempt starts, and again at the time given by a `wait` decision.
 * A `hedge` decision has already taken its attempt from the budget.
 */
export const planHedge = (state: HedgeState, hedgeDelayMs: number | undefined, budget: RetryBudget, nowMs: number): HedgeDecision => {
  if (!state.idempotent || !state.isBodyReplayable || state.allowance < 1) return { decision: 'none' }
  if (state.isHedged || state.hasFirstByte || hedgeDelayMs === undefined) return { decision: 'none' }
  const dueMs = state.startedMs + hedgeDelayMs
  if (dueMs + TIME_LEFT_SHARE * hedgeDelayMs > state.deadlineMs) return { decision: 'none' }
  if (nowMs < dueMs) return { decision: 'wait', untilMs: dueMs }
  if (nowMs >= state.deadlineMs) return { decision: 'none' }
  return budget.tryTake('hedge', nowMs) ? { decision: 'hedge' } : { decision: 'none' }
}
