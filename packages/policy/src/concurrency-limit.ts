/**
 * Adaptive concurrency limits. The limit for one target rises while answers
 * arrive within the usual time and is halved when the target sheds load.
 *
 * With 20 nodes and 4 slots per target, even a limit of 1 per target lets the
 * fleet send 5 times what a target can run. A node cannot know its share of the
 * slots, but each report tells whether a target has a queue. The limit for the
 * whole service therefore follows the reports as a congestion window does
 * (additive increase, and a decrease in proportion to the share of congested
 * reports as in DCTCP, Alizadeh et al., 2010), which also lets the shares of
 * the nodes converge.
 */
import { CONGESTED_LOAD } from './constants.js'
import { halfLifeWeight } from './half-life.js'
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

/** After a refusal a target is avoided for this time, doubled with each further one. */
const AVOID_MIN_MS = 50
const AVOID_MAX_MS = 2000

/**
 * A target that refuses at once has nothing in flight and looks idle. Without a
 * pause it would keep its share of the requests and use up the retry budget.
 */
export const avoidAfterRefusal = (state: TargetState, nowMs: number): void => {
  state.avoidUntilMs = nowMs + Math.min(AVOID_MAX_MS, AVOID_MIN_MS * 2 ** state.refusalsInRow)
  state.refusalsInRow++
}

/** Requests that this node may run on the target now; a target on probation is tested with single requests. */
export const effectiveLimit = (state: TargetState): number =>
  state.health === 'probation' ? 1 : Math.floor(state.limit)

export type ServiceLimit = {
  /** Takes over a sign of the load of a target: an answer, or a refusal. */
  note: (congested: boolean, runningCount: number, nowMs: number) => void
  current: () => number
}

/** Taken off for each congested answer, so a window full of them halves the limit. */
const CONGESTION_STEP = 0.5
/** An unused limit falls towards this many times the most requests that ran lately. */
const PEAK_FACTOR = 4
const PEAK_HALF_LIFE_MS = 5000
const LIMIT_MIN = 1
/** Below this a limit cannot tell an idle node from a burst. */
const PEAK_MIN = 4

export const createServiceLimit = (): ServiceLimit => {
  let limit = Infinity
  // Until the first sign of congestion the limit doubles with each round of answers.
  let isProbing = true
  let peak = PEAK_MIN
  let peakMs = -Infinity

  const peakAt = (nowMs: number): number => Math.max(PEAK_MIN, peak * halfLifeWeight(nowMs - peakMs, PEAK_HALF_LIFE_MS))

  return {
    note: (congested, runningCount, nowMs) => {
      const current = peakAt(nowMs)
      if (runningCount >= current) {
        peak = runningCount
        peakMs = nowMs
      }
      const limitMax = PEAK_FACTOR * Math.max(current, runningCount)
      if (limit > limitMax) {
        limit = limitMax
        isProbing = true
      }
      if (congested) {
        limit = Math.max(LIMIT_MIN, limit - CONGESTION_STEP)
        isProbing = false
      } else if (runningCount >= limit / 2) limit += isProbing ? 1 : 1 / limit
    },
    current: () => limit
  }
}

export const isCongested = (inFlight: number, slots: number): boolean => inFlight > CONGESTED_LOAD * slots
