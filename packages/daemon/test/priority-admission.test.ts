/**
 * Guards against a daemon that admits by priority without the option
 * admitsByPriority, or that does not with it.
 */
import test from 'ava'
import { createManualClock, createRandom } from '@wisteriavalve/common'
import type { PlacementRequest, Search, SearchLimits } from '@wisteriavalve/policy'
import { limitByPriority } from '../src/placement.js'
import { createServiceRuntimes, type ServiceRuntime } from '../src/service-runtimes.js'
import { toActiveConfiguration } from '../src/fleet/published-configuration.js'
import type { DaemonSettings } from '../src/types.js'

const REQUEST: PlacementRequest = {
  zone: 'a',
  exclude: new Set(),
  bodyBytes: 0,
  serviceTimeMs: 100,
  objectiveEndMs: 400,
  deadlineMs: 1_000,
  probed: new Set(),
  canProbe: () => true,
  canWait: true,
  canRefuse: true,
  requiresFreeAndFast: false
}
const LIMITS: SearchLimits = { reservedShare: 0.25, isThrottled: true, probesMax: 0, needsReport: true, canWait: false }
const SEARCH: Search = { limits: () => LIMITS, recordWait: () => undefined, yieldToMoreUrgent: () => false, recordSent: () => undefined, refuse: refusal => refusal, end: () => undefined }

const createRuntimes = (options: { admitsByPriority?: boolean }) => {
  const runtimes = createServiceRuntimes({
    clock: createManualClock(10_000),
    random: createRandom(1),
    probesBeforeAttempt: true,
    ...options,
    onHealth: () => undefined,
    onRequestLimit: () => undefined,
    onTargetPause: () => undefined,
    onSilent: () => undefined,
    onWarmup: () => undefined,
    onOpenResult: () => undefined
  })
  const callerBounds = { headerBytesMax: 1_000, bodyBytesMax: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
  const services = [{ name: 'desk', healthPath: '/health', connectionsPerTarget: 100 }]
  runtimes.applyConfiguration(toActiveConfiguration({ version: 1, restoreCount: 0, routes: [], services, callerBounds }, { zone: 'a', fleet: 'f' } as DaemonSettings))
  return { runtime: runtimes.get('desk') as ServiceRuntime, gauges: runtimes.gaugeValues(10_000)[0] }
}

test('without the option, placement requests are not changed and the pressure is 0', t => {
  const { runtime, gauges } = createRuntimes({})
  t.is(runtime.scarcity, undefined)
  t.is(limitByPriority(REQUEST, runtime, undefined, 0), REQUEST)
  t.is(limitByPriority(REQUEST, runtime, SEARCH, 0), REQUEST)
  t.is(gauges?.pressure, 0)
  t.deepEqual(gauges?.refusalsByWeight, {})
})

test('with the option, the limits of a search apply to its placement requests, and retries avoid full targets', t => {
  const { runtime } = createRuntimes({ admitsByPriority: true })
  t.deepEqual(limitByPriority(REQUEST, runtime, SEARCH, 0), { ...REQUEST, ...LIMITS, avoidsReportedFull: true })
  t.deepEqual(limitByPriority(REQUEST, runtime, undefined, 0), { ...REQUEST, avoidsReportedFull: true })
})
