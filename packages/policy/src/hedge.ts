/**
 * Decides whether a second attempt is sent while the first is still waiting
 * for its first byte (Dean and Barroso, The Tail at Scale, 2013).
 */
import type { HedgeDecision, HedgeState, RetryBudget } from './types.js'

/** A hedge with less time than this share of the hedge delay left would not be answered in time. */
const TIME_LEFT_SHARE = 0.5

/** An attempt that has not taken this many times its usual work is not slow yet. */
const SLOW_FROM_WORK = 1.35
/** Reserve of a second attempt, in units of the usual work. */
const OBJECTIVE_WORK = 1.15

/**
 * Delay after which a second attempt is sent so that it can still be answered
 * within the objective. Undefined when that is not possible any more.
 *
 * @param leftMs time from the first attempt to the end of the objective
 * @param workMs usual work of such a request
 */
export const objectiveHedgeDelayMs = (leftMs: number, workMs: number): number | undefined => {
  const delayMs = leftMs - OBJECTIVE_WORK * workMs
  return delayMs >= SLOW_FROM_WORK * workMs ? delayMs : undefined
}

/**
 * Asked when the attempt starts, and again at the time that a `wait` decision
 * gives. A `hedge` decision has taken its attempt from the budget.
 */
export const planHedge = (state: HedgeState, hedgeDelayMs: number | undefined, budget: RetryBudget, nowMs: number): HedgeDecision => {
  if (!state.idempotent || !state.bodyReplayable || state.allowance < 1) return { decision: 'none' }
  if (state.hedged || state.firstByteSeen || hedgeDelayMs === undefined) return { decision: 'none' }
  const dueMs = state.startedMs + hedgeDelayMs
  if (dueMs + TIME_LEFT_SHARE * hedgeDelayMs > state.deadlineMs) return { decision: 'none' }
  if (nowMs < dueMs) return { decision: 'wait', untilMs: dueMs }
  if (nowMs >= state.deadlineMs) return { decision: 'none' }
  return budget.tryTake('hedge', nowMs) ? { decision: 'hedge' } : { decision: 'none' }
}
