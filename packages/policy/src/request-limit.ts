/**
 * Request limits of targets. A target can state in its responses how many
 * requests per second it accepts from all nodes together. The newest statement
 * that any node has seen is in force. While it stands, each request to the
 * target needs a permit of one node, the permit owner of the target; see
 * packages/fleet.
 */
import type { LimitStatement } from '@wisteriavalve/common'
import type { SelectionRequest, TargetState } from './types.js'

/** What a response says about the request limit of its target: requests per second, no limit, or a value that cannot be read. */
export type StatedLimit = number | 'none' | 'unreadable'

/** Parses requests per second as a decimal number of at least 0. */
export const parseRequestLimit = (text: string | undefined): StatedLimit => {
  if (text === undefined) return 'none'
  return /^\d{1,12}(\.\d{0,12})?$/.test(text.trim()) ? Number(text) : 'unreadable'
}

/** @returns whether the limit has changed */
const setLimit = (state: TargetState, limitPerS: number | undefined, observedMs: number): boolean => {
  const previous = state.requestLimitPerS
  state.requestLimitPerS = limitPerS
  state.limitObservedMs = observedMs
  if (limitPerS === undefined || previous === undefined || limitPerS > previous) state.nextPermitMs = -Infinity
  return limitPerS !== previous
}

/**
 * Applies the statement of a response. Only the response to a request that was
 * written after the limit was last stated can end the limit, because earlier
 * responses may have been sent before the target stated it.
 * @returns whether the limit has changed
 */
export const applyStatedLimit = (state: TargetState, stated: StatedLimit, writtenMs: number, nowMs: number): boolean => {
  if (stated === 'unreadable') return false
  const limitPerS = stated === 'none' ? undefined : stated
  if (limitPerS === undefined && (state.requestLimitPerS === undefined || writtenMs <= state.limitObservedMs)) return false
  if (limitPerS !== undefined && state.requestLimitPerS === undefined) state.isLimitUnshared = true
  return setLimit(state, limitPerS, nowMs)
}

/**
 * Applies what another node knows, if it is newer.
 * @returns whether the limit has changed
 */
export const applyLimitStatement = (state: TargetState, { limitPerS, ageMs }: LimitStatement, nowMs: number): boolean =>
  nowMs - ageMs > state.limitObservedMs && setLimit(state, limitPerS ?? undefined, nowMs - ageMs)

export const limitStatementOf = ({ requestLimitPerS, limitObservedMs }: TargetState, nowMs: number): LimitStatement =>
  ({ limitPerS: requestLimitPerS ?? null, ageMs: Math.max(0, nowMs - limitObservedMs) })

export const hasLimit = ({ requestLimitPerS }: TargetState): boolean => requestLimitPerS !== undefined

/**
 * Time after a denial after which the next request asks again before a permit is
 * due, because only the owner tells that a limit has ended or was raised.
 */
export const ASK_AGAIN_DEFAULT_MS = 1_000

/** Whether a permit for the target may be available after the given wait. */
export const isPermitPossible = (state: TargetState, waitMaxMs: number, nowMs: number): boolean =>
  !hasLimit(state) || state.nextPermitMs - nowMs <= waitMaxMs || nowMs >= state.askAgainMs

/** Wait that is told to callers at least, since a permit that is due now is taken by requests that are here. */
const RETRY_AFTER_MIN_MS = 100

export type LimitedChoice =
  | { state: TargetState, permitWaitMaxMs: number }
  /** No permit is issued in time. The time spreads callers that are refused at the same moment. */
  | { retryAfterMs: number, detail: string }

const describeLimit = ({ target, requestLimitPerS, limitObservedMs }: TargetState, dueInMs: number, nowMs: number): string =>
  `the next permit is due in ${Math.round(dueInMs)} ms, at ${target.id} with a limit of ${requestLimitPerS} a second that was stated ${Math.round(nowMs - limitObservedMs)} ms ago`

/**
 * Chooses among targets that all have a request limit: the one whose next permit
 * is due first, if the request can wait for it. This answers a load above the
 * limits of all targets of a service, of which the surplus is refused at once.
 */
export const chooseLimited = (
  limited: readonly TargetState[], { permitWaitMaxMs = 0 }: Pick<SelectionRequest, 'permitWaitMaxMs'>, nowMs: number, spread: number
): LimitedChoice => {
  const dueMs = (state: TargetState): number => Math.max(state.nextPermitMs, nowMs)
  const first = limited.reduce((best, state) => dueMs(state) < dueMs(best) ? state : best)
  if (isPermitPossible(first, permitWaitMaxMs, nowMs)) return { state: first, permitWaitMaxMs }
  const dueInMs = dueMs(first) - nowMs
  return { retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, dueInMs) * (1 + spread), detail: describeLimit(first, dueInMs, nowMs) }
}
