/**
 * Selection policies by name.
 */
import type { Policy, PolicyName } from '../types.js'
import { adaptive } from './adaptive.js'
import { leastInFlight } from './least-in-flight.js'
import { prequal } from './prequal.js'
import { randomTarget } from './random.js'
import { roundRobin } from './round-robin.js'
import { twoChoices } from './two-choices.js'

export const policies: Readonly<Record<PolicyName, Policy>> = {
  'round-robin': roundRobin,
  random: randomTarget,
  'least-in-flight': leastInFlight,
  'two-choices': twoChoices,
  prequal,
  adaptive
}

export const isPolicyName = (name: string): name is PolicyName => Object.hasOwn(policies, name)
