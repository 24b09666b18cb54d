/**
 * Decides whether a second attempt is sent while the first is still waiting
 * for its first byte (Dean and Barroso, The Tail at Scale, 2013).
 */
import type { HedgeDecision, HedgeState, RetryBudget } from './types.js'

/** A hedge with less time than this share of the hedge delay left would not be answered in time. */
const TIME_LEFT_SHARE = 0.5

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
