/**
 * Pauses of targets. A target that refuses a request can ask to be left alone
 * for a time. Nothing is sent to it until then, not even as a last choice.
 */
import type { TargetState } from './types.js'

const MS_PER_S = 1_000
/** Longer pauses are cut: a target that errs by orders of magnitude must not be lost for good. */
const PAUSE_MS_MAX = 3_600_000

/**
 * Parses a Retry-After: seconds, also with a fraction, or an HTTP date.
 * @param wallMs time of day against which a date is read
 * @returns undefined for a value that cannot be read and for a time that is over
 */
export const parsePauseMs = (text: string | undefined, wallMs: number): number | undefined => {
  const value = text?.trim() ?? ''
  const pauseMs = /^\d{1,12}(\.\d{0,12})?$/.test(value) ? Number(value) * MS_PER_S : /^[A-Z][a-z]{2}, /.test(value) ? Date.parse(value) - wallMs : NaN
  return pauseMs > 0 ? Math.min(PAUSE_MS_MAX, pauseMs) : undefined
}

/** @returns whether the pause began or was extended */
export const applyPause = (state: TargetState, untilMs: number): boolean => {
  if (untilMs <= state.pausedUntilMs) return false
  state.pausedUntilMs = untilMs
  return true
}

export const isPaused = ({ pausedUntilMs }: TargetState, nowMs: number): boolean => nowMs < pausedUntilMs

/** Callers come back within this time after the end of the shortest pause, in units of the time until then. */
const SPREAD_SHARE = 1
const RETRY_AFTER_MIN_MS = 100

/**
 * Retry-After for a request that finds all targets paused. Requests do not wait
 * for the end of a pause, because all of them would reach the target together.
 * @param spread random number from 0 to 1 that spreads the return of callers
 */
export const pauseRetryAfterMs = (paused: readonly TargetState[], nowMs: number, spread: number): number => {
  const leftMs = Math.max(RETRY_AFTER_MIN_MS, Math.min(...paused.map(({ pausedUntilMs }) => pausedUntilMs)) - nowMs)
  return leftMs * (1 + SPREAD_SHARE * spread)
}
