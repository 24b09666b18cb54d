/**
 * Default policy: the target with the lowest expected time to the first byte,
 * from its latency and the load that this node knows of or estimates. Own
 * availability zone is preferred by the time that the way costs, so it gives
 * way as soon as a queue costs more.
 */
// eslint-disable-next-line
import { estimateOthers } from '../load-estimate.js'
import { phantomAt } from '../target-state.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Extra time on the way to another availability zone, to and fro. */
const ZONE_MS = 1
const SLOW_MS = 100

const T = { H: 250, Hl: 300, k: 4, g: 1, age: 0, zone: 1, mean: 1, ...JSON.parse(process.env.TUNE ?? '{}') }
const softplus = (x: number): number => x > 20 ? x : Math.log1p(Math.exp(x))
const expectedMs = (state: TargetState, { routing, zone, nowMs }: PolicyContext): number => {
  const usualMs = routing.usualLatencyMs ?? 1
  const w = 2 ** (-(nowMs - state.reportMs) / T.H)
  const others = w * state.othersInFlight + (1 - w) * routing.meanOthersInFlight * T.mean
  const load = state.inFlight + others + phantomAt(state, SLOW_MS, nowMs)
  const q = (load + 1 - state.slots) / state.slots
  const wait = softplus(T.k * q) / T.k
  const lw = 2 ** (-(nowMs - state.latencyUpdatedMs) / T.Hl)
  const r = state.latencyMs > 0 ? 1 + (state.latencyMs / usualMs - 1) * lw * T.g : 1
  const zoneMs = state.target.zone === zone ? 0 : T.zone
  return zoneMs + usualMs * Math.max(0.1, r) * (1 + wait)
}
const expectedMsOld = (state: TargetState, { routing, zone, nowMs }: PolicyContext): number => {
  const usualMs = routing.usualLatencyMs ?? 1
  const latencyMs = state.latencyMs > 0 ? state.latencyMs : usualMs
  const load = state.inFlight + estimateOthers(state, routing, nowMs) + phantomAt(state, SLOW_MS, nowMs)
  const zoneMs = state.target.zone === zone ? 0 : ZONE_MS
  return zoneMs + latencyMs * (1 + (load / state.slots) ** 2)
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

export const unused = expectedMsOld
