/**
 * Decides whether a failed attempt is repeated, and divides the allowance of
 * extra attempts of a call tree.
 */
import type { AttemptFailure, RetryDecision, RetryState } from './types.js'

/** Failures after which the request cannot have run. */
const NOT_RUN: ReadonlySet<AttemptFailure> = new Set(['connect-failed', 'refused'])

/** Attempts for one request, whatever the allowance says. */
const ATTEMPTS_MAX = 4

/** Does not take from the retry budget: a caller that is told to retry takes from it next. */
export const planRetry = (state: RetryState, failure: AttemptFailure, nowMs: number): RetryDecision => {
  const isNotRun = NOT_RUN.has(failure)
  const resultClass = isNotRun ? 'not-run' : 'outcome-unknown'
  const isRepeatable = (state.idempotent || isNotRun) && failure !== 'cancelled'
  const isPossible = state.bodyReplayable && !state.responseStarted && nowMs < state.deadlineMs &&
    state.allowance >= 1 && state.attempts < ATTEMPTS_MAX && (state.sends ?? 0) < (state.sendsMax ?? Infinity)
  return isRepeatable && isPossible ? { decision: 'retry' } : { decision: 'give-up', resultClass }
}

/**
 * Splits an allowance before an attempt is sent: `passOn` goes with the attempt
 * in `x-retry-allowance`, `keep` stays with this node. A further attempt of this
 * node (retry or hedge) needs a kept allowance of at least 1, spends 1 of it and
 * splits the rest again: `splitRetryAllowance(keep - 1)`. The first attempt is
 * under way when a retry becomes necessary, so its part has to be set aside
 * beforehand; otherwise both together could exceed the allowance.
 */
export const splitRetryAllowance = (allowance: number): { passOn: number, keep: number } => {
  const whole = Math.max(0, Math.floor(allowance))
  const passOn = Math.floor(whole / 2)
  return { passOn, keep: whole - passOn }
}
