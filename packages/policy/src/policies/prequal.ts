/**
 * Hot-cold selection (Wydrowski et al., Load is not what you should balance:
 * Introducing Prequal, NSDI 2024): targets whose requests in flight lie above
 * a quantile are hot. Among cold ones the lowest latency wins; when all are
 * hot, the fewest requests in flight. Reports on responses take the place of
 * the published probes, since targets with traffic are not probed; a random
 * pool of targets per request takes the place of the probe pool, so that nodes
 * with the same knowledge do not all choose the same target.
 */
import { penaltyAt } from '../target-state.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Published quantile of requests in flight above which a target is hot. */
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
  const hotFrom = loads[Math.floor(HOT_QUANTILE * (loads.length - 1))] as number
  const pool = drawPool(eligible, context)
  let cold: TargetState | undefined
  let leastLoaded = pool[0] as TargetState
  for (const state of pool) {
    const load = inFlightOf(state, context)
    if (load < inFlightOf(leastLoaded, context)) leastLoaded = state
    if (load <= hotFrom && (!cold || state.latencyMs < cold.latencyMs)) cold = state
  }
  return cold
    ? { state: cold, reason: 'lowest latency of the targets that are not hot' }
    : { state: leastLoaded, reason: 'all targets are hot; fewest in flight' }
}
