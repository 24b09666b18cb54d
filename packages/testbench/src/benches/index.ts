/**
 * All benches by name.
 */
import * as capacity from './capacity.js'
import * as config from './config.js'
import * as entries from './entries.js'
import * as failover from './failover.js'
import * as membership from './membership.js'
import * as overhead from './overhead.js'
import * as overload from './overload.js'
import * as policy from './policy.js'
import * as probes from './probes.js'
import * as retries from './retries.js'
import type { Bench } from './types.js'

export const BENCHES: Record<string, Bench> = {
  capacity, config, entries, failover, membership, overhead, overload, policy, probes, retries
}
