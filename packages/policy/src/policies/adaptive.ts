/**
 * Default policy: selects the target with the lowest expected time to first byte.
 *
 * The load from this node is known exactly. The load from other nodes is taken
 * from the last report, and blends into an estimate as the report ages. The
 * estimate is deliberately above the mean: a target that just reported free slots
 * is then preferred to one without a recent report. Each node therefore uses few
 * targets at a time and has fresher reports on them. Overdue requests of this
 * node count as additional load, since they reveal a slow target before a report
 * does.
 */
import { expectedLoad } from '../load-estimate.js'
import { halfLifeWeight } from '../half-life.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Additional round-trip time to another availability zone. */
const OTHER_ZONE_MS = 1
/** Steepness of the transition in the expected wait where the slots are used up. */
const WAIT_SHARPNESS = 4
/** Used before the first response; any positive value works. */
const USUAL_LATENCY_DEFAULT_MS = 10
/** A mean latency up to this many times the usual is attributed to queueing, which the expected load covers. */
const SLOW_FACTOR_MIN = 2
/** Half-life of the slowness of a target; a slow target without requests is tried again after a few half-lives. */
const SLOW_HALF_LIFE_MS = 2000

/** Expected wait for a slot in units of the service time; a smooth function, because the load is uncertain. */
const expectedWait = (load: number, slots: number): number =>
  Math.log1p(Math.exp(Math.min(50, WAIT_SHARPNESS * (load + 1 - slots) / slots))) / WAIT_SHARPNESS

/** Factor by which a target is slower than usual for reasons other than load. */
const slowness = (state: TargetState, usualMs: number, nowMs: number): number => {
  const excess = state.latencyMs / usualMs - SLOW_FACTOR_MIN
  return excess <= 0 ? 1 : 1 + excess * halfLifeWeight(nowMs - state.latencyUpdatedMs, SLOW_HALF_LIFE_MS)
}

const expectedMs = (state: TargetState, { routing, zone, nowMs }: PolicyContext): number => {
  const usualMs = routing.usualLatencyMs ?? USUAL_LATENCY_DEFAULT_MS
  const wait = expectedWait(expectedLoad(state, routing, usualMs, nowMs), state.slots)
  return usualMs * slowness(state, usualMs, nowMs) * (1 + wait) + (state.target.zone === zone ? 0 : OTHER_ZONE_MS)
}

export const adaptive: Policy = (eligible, context) => {
  const start = context.random.int(eligible.length)
  let best = eligible[start] as TargetState
  let bestMs = expectedMs(best, context)
  for (let step = 1; step < eligible.length; step++) {
    const state = eligible[(start + step) % eligible.length] as TargetState
    const ms = expectedMs(state, context)
    if (ms >= bestMs) continue
    best = state
    bestMs = ms
  }
  return { state: best, reason: `lowest expected time to the first byte (${Math.round(bestMs)} ms) of ${eligible.length} targets` }
}
