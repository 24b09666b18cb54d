/**
 * Baseline: of two random targets, the one with fewer requests in flight from
 * this node (Mitzenmacher, The Power of Two Choices in Randomized Load
 * Balancing, 2001).
 */
import type { Policy, TargetState } from '../types.js'

export const twoChoices: Policy = (eligible, { random }) => {
  const firstIndex = random.int(eligible.length)
  const first = eligible[firstIndex] as TargetState
  if (eligible.length === 1) return { state: first, reason: 'only one target' }
  // Drawn from the remaining targets, so the two always differ.
  const second = eligible[(firstIndex + 1 + random.int(eligible.length - 1)) % eligible.length] as TargetState
  const state = second.inFlight < first.inFlight ? second : first
  return { state, reason: `fewer in flight of two (${state.inFlight})` }
}
