/**
 * Hot-cold selection (Wydrowski et al., Load is not what you should balance:
 * Introducing Prequal, NSDI 2024): targets whose requests in flight lie above
 * a quantile are hot. Among cold ones the lowest latency wins; when all are
 * hot, the fewest requests in flight. Reports on responses take the place of
 * the published probes, since targets with traffic are not probed.
 */
import { phantomAt } from '../target-state.js'
import type { Policy, PolicyContext, TargetState } from '../types.js'

/** Published quantile of requests in flight above which a target is hot. */
const HOT_QUANTILE = 0.84

const inFlightOf = (state: TargetState, { routing, nowMs }: PolicyContext): number =>
  state.inFlight + state.othersInFlight + phantomAt(state, routing.slowLatencyMs, nowMs)

export const prequal: Policy = (eligible, context) => {
  const loads = new Float64Array(eligible.length)
  for (let index = 0; index < eligible.length; index++) loads[index] = inFlightOf(eligible[index] as TargetState, context)
  const hotFrom = loads.slice().sort()[Math.floor(HOT_QUANTILE * (eligible.length - 1))] as number
  let best = -1
  let bestLatencyMs = Infinity
  let leastLoaded = 0
  for (let index = 0; index < eligible.length; index++) {
    const load = loads[index] as number
    if (load < (loads[leastLoaded] as number)) leastLoaded = index
    const { latencyMs } = eligible[index] as TargetState
    if (load <= hotFrom && latencyMs < bestLatencyMs) {
      best = index
      bestLatencyMs = latencyMs
    }
  }
  if (best < 0) return { state: eligible[leastLoaded] as TargetState, reason: 'all targets are hot; fewest in flight' }
  return { state: eligible[best] as TargetState, reason: 'lowest latency of the targets that are not hot' }
}
