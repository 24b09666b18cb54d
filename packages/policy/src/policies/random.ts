/**
 * Baseline: uniform random selection.
 */
import type { Policy, TargetState } from '../types.js'

export const randomTarget: Policy = (eligible, { random }) =>
  ({ state: eligible[random.int(eligible.length)] as TargetState, reason: 'random' })
