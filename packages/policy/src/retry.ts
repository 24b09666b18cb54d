/**
 * Decides whether a failed attempt is retried, and splits the allowance of
 * extra attempts of a call tree.
 */
import { hasLimit, isPermitPossible } from './request-limit.js'
import { isPaused } from './target-pause.js'
import type { AttemptFailure, RetryDecision, RetryState, TargetState } from './types.js'

/** Failures after which the request cannot have run. */
const NOT_RUN: ReadonlySet<AttemptFailure> = new Set(['connect-failed', 'refused'])

/** Maximum number of attempts for one request, regardless of the allowance. */
const ATTEMPTS_MAX = 4

/** Does not take from the retry budget; the calling code does so after a `retry` decision. */
export const planRetry = (state: RetryState, failure: AttemptFailure, nowMs: number): RetryDecision => {
  const isNotRun = NOT_RUN.has(failure)
  const resultClass = isNotRun ? 'not-run' : 'outcome-unknown'
  const isRepeatable = (state.idempotent || isNotRun) && failure !== 'cancelled'
  const isPossible = state.isBodyReplayable && !state.hasResponseStarted && nowMs < state.deadlineMs &&
    state.allowance >= 1 && state.attempts < ATTEMPTS_MAX && (state.sendCount ?? 0) < (state.sendCountMax ?? Infinity)
  return isRepeatable && isPossible ? { decision: 'retry' } : { decision: 'give-up', resultClass }
}

/**
 * Splits an allowance before an attempt is sent: `forwarded` is sent with the
 * attempt in `x-retry-allowance`, `retained` stays with this node. A further
 * attempt of this node (retry or hedge) requires a retained allowance of at least
 * 1. It uses 1 and splits the rest again: `splitRetryAllowance(retained - 1)`. The
 * part of the first attempt must be deducted beforehand, because that attempt may
 * still be running when a retry is sent and both together could exceed the
 * allowance.
 */
export const splitRetryAllowance = (allowance: number): { forwarded: number, retained: number } => {
  const whole = Math.max(0, Math.floor(allowance))
  const forwarded = Math.floor(whole / 2)
  return { forwarded, retained: whole - forwarded }
}

/**
 * Whether a target may be chosen for a retry. A response with an error status is
 * dropped for a retry, so it is kept if the target could still deny the permit.
 */
export const canTakeRetry = (state: TargetState, failure: AttemptFailure, nowMs: number): boolean =>
  !isPaused(state, nowMs) && (failure === 'error-status' ? !hasLimit(state) : isPermitPossible(state, 0, nowMs))
