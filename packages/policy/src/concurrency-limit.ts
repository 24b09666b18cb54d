/**
 * Adaptive concurrency limits. The limit for one target rises while responses
 * arrive within the usual time and is halved when the target sheds load.
 *
 * With 20 nodes and 4 slots per target, even a limit of 1 per target lets the
 * fleet send 5 times as many requests as a target can run. A node cannot
 * determine its share of the slots, but each report shows whether a target has a
 * queue. The limit for the whole service therefore follows the reports like a
 * congestion window: additive increase, and a decrease in proportion to the share
 * of congested reports as in DCTCP (Alizadeh et al., 2010). The shares of the
 * nodes also converge in this way.
 */
import { CONGESTED_LOAD_FACTOR } from './constants.js'
import { halfLifeWeight } from './half-life.js'
import type { TargetState } from './types.js'

/** A response within this many times the usual time is no evidence of queueing. */
const USUAL_FACTOR = 2
/** Refusals within this interval are caused by the same overload and lower the limit only once. */
const HALVING_INTERVAL_MS = 50

export const raiseLimit = (state: TargetState, latencyMs: number, usualMs: number, limitMax: number): void => {
  // A limit that is not used gives no evidence of how much load the target can handle.
  if (latencyMs > USUAL_FACTOR * usualMs || state.inFlight < state.limit / 2) return
  state.limit = Math.min(limitMax, state.limit + 1 / state.limit)
}

export const lowerLimit = (state: TargetState, nowMs: number): void => {
  if (nowMs - state.limitLoweredMs < HALVING_INTERVAL_MS) return
  state.limit = Math.max(1, state.limit / 2)
  state.limitLoweredMs = nowMs
}

/** After a refusal or a failed connection attempt, a target is avoided for this time, doubled with each consecutive one. */
const AVOID_MIN_MS = 50
export const AVOID_MAX_MS = 2000

/**
 * A target that refuses at once has nothing in flight and looks idle, and an
 * unreachable target costs each request a connect timeout. If they were not
 * avoided, both would keep their share of the requests until they are ejected.
 */
export const avoidTarget = (state: TargetState, nowMs: number): void => {
  state.avoidUntilMs = nowMs + Math.min(AVOID_MAX_MS, AVOID_MIN_MS * 2 ** state.consecutiveRefusals)
  state.consecutiveRefusals++
}

/** Maximum number of concurrent requests of this node on the target; 1 on probation, which tests with single requests. */
export const effectiveLimit = (state: TargetState): number =>
  state.health === 'probation' ? 1 : Math.floor(state.limit)

export type ServiceLimit = {
  /** Records whether a response or a refusal showed congestion. */
  record: (wasCongested: boolean, runningCount: number, nowMs: number) => void
  current: () => number
}

/** Decrease per congested response; a full window of them halves the limit. */
const CONGESTION_STEP = 0.5
/** The limit is capped at this many times the recent peak of running requests. */
const PEAK_FACTOR = 4
const PEAK_HALF_LIFE_MS = 5000
const LIMIT_MIN = 1
/** Lower bound of the peak; below it, a burst on an idle node would hit the limit. */
const PEAK_MIN = 4

export const createServiceLimit = (): ServiceLimit => {
  let limit = Infinity
  // Until the first congested response the limit doubles with each round of responses.
  let isRampingUp = true
  let peak = PEAK_MIN
  let peakMs = -Infinity

  const peakAt = (nowMs: number): number => Math.max(PEAK_MIN, peak * halfLifeWeight(nowMs - peakMs, PEAK_HALF_LIFE_MS))

  return {
    record: (wasCongested, runningCount, nowMs) => {
      const current = peakAt(nowMs)
      if (runningCount >= current) {
        peak = runningCount
        peakMs = nowMs
      }
      const limitMax = PEAK_FACTOR * Math.max(current, runningCount)
      if (limit > limitMax) {
        limit = limitMax
        isRampingUp = true
      }
      if (wasCongested) {
        limit = Math.max(LIMIT_MIN, limit - CONGESTION_STEP)
        isRampingUp = false
      } else if (runningCount >= limit / 2) limit += isRampingUp ? 1 : 1 / limit
    },
    current: () => limit
  }
}

export const isCongested = (inFlight: number, slots: number): boolean => inFlight > CONGESTED_LOAD_FACTOR * slots
