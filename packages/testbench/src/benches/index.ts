/**
 * Register of the benches by name.
 */
import * as failover from './failover.js'
import * as overhead from './overhead.js'
import * as overload from './overload.js'
import * as policy from './policy.js'
import * as retries from './retries.js'
import type { Bench } from './types.js'

export const BENCHES: Record<string, Bench> = { policy, failover, retries, overload, overhead }
