/**
 * Default policy: the target with the lowest expected time to the first byte.
 *
 * Own requests are known exactly; the load from other nodes comes from the last
 * report and goes over into a guess as the report ages. The guess is deliberately
 * above the mean, so that a target that just reported free slots is preferred to
 * one that nobody knows: each node then stays with few targets at a time, and its
 * reports on them are fresher. Own requests that are overdue count as further
 * load, since they show a target that turned slow before any report can.
 */
import { expectedLoad } from '../load-estimate.js'
import { halfLifeWeight } from '../half-life.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Extra time on the way to another availability zone, to and fro. */
const ZONE_MS = 1
/** Sharpness of the bend in the expected wait where the slots are used up. */
const WAIT_SHARPNESS = 4
/** Before the first answer any positive time does. */
const USUAL_DEFAULT_MS = 10
/** A mean latency up to this many times the usual is ascribed to queues, which the load covers. */
const SLOW_FROM = 2
/** A slow target that gets no requests is tried again when this time has passed a few times. */
const SLOW_HALF_LIFE_MS = 2000

/** Waiting time for a slot in units of the service time; smooth, because the load is uncertain. */
const expectedWait = (load: number, slots: number): number =>
  Math.log1p(Math.exp(Math.min(50, WAIT_SHARPNESS * (load + 1 - slots) / slots))) / WAIT_SHARPNESS

/** How many times the usual time a target takes for reasons other than load. */
const slowness = (state: TargetState, usualMs: number, nowMs: number): number => {
  const excess = state.latencyMs / usualMs - SLOW_FROM
  return excess <= 0 ? 1 : 1 + excess * halfLifeWeight(nowMs - state.latencyUpdatedMs, SLOW_HALF_LIFE_MS)
}

const expectedMs = (state: TargetState, { routing, zone, nowMs }: PolicyContext): number => {
  const usualMs = routing.usualLatencyMs ?? USUAL_DEFAULT_MS
  const wait = expectedWait(expectedLoad(state, routing, usualMs, nowMs), state.slots)
  return usualMs * slowness(state, usualMs, nowMs) * (1 + wait) + (state.target.zone === zone ? 0 : ZONE_MS)
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
