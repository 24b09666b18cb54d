/**
 * Default policy: the target with the lowest expected time to the first byte,
 * from its latency and the load that this node knows of or estimates. Own
 * availability zone is preferred by the time that the way costs, so it gives
 * way as soon as a queue costs more.
 */
import { estimateOthers } from '../load-estimate.js'
import { phantomAt } from '../target-state.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Extra time on the way to another availability zone, to and fro. */
const ZONE_MS = 1
const SLOW_MS = 100

const expectedMs = (state: TargetState, { routing, zone, nowMs }: PolicyContext): number => {
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
