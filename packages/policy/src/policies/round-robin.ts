/**
 * Baseline: round-robin over the eligible targets.
 */
import type { Policy, TargetState } from '../types.js'

export const roundRobin: Policy = (eligible, { routing }) => {
  const state = eligible[routing.rotation.next++ % eligible.length] as TargetState
  return { state, reason: 'next in turn' }
}
