/**
 * Adaptive concurrency limit of this node for one target: additive increase
 * while answers arrive within the usual time, halved when the target sheds
 * load.
 */
import type { TargetState } from './types.js'

/** An answer within this many times the usual time does not speak for queueing. */
const USUAL_FACTOR = 2
/** Requests that are refused together stem from the same overload and lower the limit once. */
const HALVING_INTERVAL_MS = 50

export const raiseLimit = (state: TargetState, latencyMs: number, usualMs: number, limitMax: number): void => {
  // An unused limit says nothing about what the target could take.
  if (latencyMs > USUAL_FACTOR * usualMs || state.inFlight < state.limit / 2) return
  state.limit = Math.min(limitMax, state.limit + 1 / state.limit)
}

export const lowerLimit = (state: TargetState, nowMs: number): void => {
  if (nowMs - state.limitLoweredMs < HALVING_INTERVAL_MS) return
  state.limit = Math.max(1, state.limit / 2)
  state.limitLoweredMs = nowMs
}

/** Requests that this node may run on the target now; a target on probation is tested with single requests. */
export const effectiveLimit = (state: TargetState): number =>
  state.health === 'probation' ? 1 : Math.floor(state.limit)
