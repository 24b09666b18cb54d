/**
 * Hot-cold selection (Wydrowski et al., Load is not what you should balance:
 * Introducing Prequal, NSDI 2024): targets with more requests in flight than a
 * quantile are hot. The cold target with the lowest latency is selected, or, when
 * all are hot, the target with the fewest requests in flight. This version differs
 * from the paper in two ways. Load reports on responses replace the probes, since
 * targets with traffic are not probed. A random pool of targets per request
 * replaces the probe pool, so nodes with the same data do not all select the same
 * target.
 */
import { penaltyAt } from '../target-state.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Quantile of requests in flight above which a target is hot; the value of the paper. */
const HOT_QUANTILE = 0.84
const POOL_SIZE = 5

const inFlightOf = (state: TargetState, { routing, nowMs }: PolicyContext): number =>
  state.inFlight + state.othersInFlight + penaltyAt(state, routing.slowLatencyMs, nowMs)

const drawPool = (eligible: readonly TargetState[], { random }: PolicyContext): TargetState[] =>
  eligible.length <= POOL_SIZE
    ? [...eligible]
    : Array.from({ length: POOL_SIZE }, () => eligible[random.int(eligible.length)] as TargetState)

export const prequal: Policy = (eligible, context) => {
  const loads = Float64Array.from(eligible, state => inFlightOf(state, context)).sort()
  const hotThreshold = loads[Math.floor(HOT_QUANTILE * (loads.length - 1))] as number
  const pool = drawPool(eligible, context)
  let cold: TargetState | undefined
  let leastLoaded = pool[0] as TargetState
  for (const state of pool) {
    const load = inFlightOf(state, context)
    if (load < inFlightOf(leastLoaded, context)) leastLoaded = state
    if (load <= hotThreshold && (!cold || state.latencyMs < cold.latencyMs)) cold = state
  }
  return cold
    ? { state: cold, reason: 'lowest latency of the targets that are not hot' }
    : { state: leastLoaded, reason: 'all targets are hot; fewest in flight' }
}
