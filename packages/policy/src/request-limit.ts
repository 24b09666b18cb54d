/**
 * Request limits of targets. A target can state in its responses how many
 * requests per second it accepts from all nodes together. The newest statement
 * that any node has seen is in force.
 */
import type { TargetState } from './types.js'

/** What a response says about the request limit of its target: requests per second, no limit, or a value that cannot be read. */
export type StatedLimit = number | 'none' | 'unreadable'

/** Parses requests per second as a decimal number of at least 0. */
export const parseRequestLimit = (text: string | undefined): StatedLimit => {
  if (text === undefined) return 'none'
  return /^\d{1,12}(\.\d{0,12})?$/.test(text.trim()) ? Number(text) : 'unreadable'
}

/**
 * Applies the statement of a response. Only the response to a request that was
 * written after the limit was last stated can end the limit, because earlier
 * responses may have been sent before the target stated it.
 * @returns whether the limit has changed
 */
export const applyStatedLimit = (state: TargetState, stated: StatedLimit, writtenMs: number, nowMs: number): boolean => {
  if (stated === 'unreadable') return false
  if (stated === 'none' && (state.requestLimitPerS === undefined || writtenMs <= state.limitObservedMs)) return false
  const previous = state.requestLimitPerS
  state.requestLimitPerS = stated === 'none' ? undefined : stated
  state.limitObservedMs = nowMs
  return state.requestLimitPerS !== previous
}
