/**
 * Baseline: the target with the fewest requests in flight from this node. Ties
 * are broken at random.
 */
import type { Policy, TargetState } from '../types.js'

export const leastInFlight: Policy = (eligible, { random }) => {
  let best = eligible[0] as TargetState
  let ties = 1
  for (let index = 1; index < eligible.length; index++) {
    const state = eligible[index] as TargetState
    if (state.inFlight > best.inFlight) continue
    ties = state.inFlight < best.inFlight ? 1 : ties + 1
    if (ties === 1 || random.int(ties) === 0) best = state
  }
  return { state: best, reason: `fewest in flight (${best.inFlight})` }
}
