/**
 * Types of retries and hedges.
 */

/** Limits on the extra attempts of a node for one service. */
export type RetryLimits = {
  /**
   * @param requestCount requests in the window
   * @param hedgeCount hedges in the window
   */
  retriesMax: (requestCount: number, hedgeCount: number) => number
  /**
   * @param requestCount requests in the window
   * @param retryCount retries in the window
   */
  hedgesMax: (requestCount: number, retryCount: number) => number
}

export type RepeatPurpose = 'retry' | 'hedge'

export type RetryBudget = {
  recordRequest: (nowMs: number) => void
  /** Takes one extra attempt from the budget; false when the budget is exhausted. */
  tryTake: (purpose: RepeatPurpose, nowMs: number) => boolean
  /** Extra attempts that the budget currently allows. */
  remaining: (purpose: RepeatPurpose, nowMs: number) => number
}

export type RetryState = {
  idempotent: boolean
  /** True while the request body can be resent from the start. */
  isBodyReplayable: boolean
  /** True once response bytes were sent to the caller. */
  hasResponseStarted: boolean
  deadlineMs: number
  attempts: number
  /** Attempts that were sent to a target, and their maximum. */
  sendCount?: number
  sendCountMax?: number
  /** Extra attempts that are left for this node; see splitRetryAllowance. */
  allowance: number
}

export type HedgeState = {
  idempotent: boolean
  isBodyReplayable: boolean
  hasFirstByte: boolean
  /** A hedge was sent already. */
  isHedged: boolean
  /** When the first attempt was sent. */
  startedMs: number
  deadlineMs: number
  /** Extra attempts that are left for this node. */
  allowance: number
}

export type HedgeDecision =
  | { decision: 'none' }
  /** Decide again at that time. */
  | { decision: 'wait', untilMs: number }
  | { decision: 'hedge' }

export type RetryDecision =
  | { decision: 'retry' }
  | { decision: 'give-up', resultClass: 'not-run' | 'outcome-unknown' }
