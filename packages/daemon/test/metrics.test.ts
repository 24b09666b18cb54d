/**
 * Guards the text of the metrics for given counts and gauge sources.
 */
import test from 'ava'
import type { Kind } from '@wisteriavalve/schema'
import { createMetrics, type Metrics } from '../src/metrics.js'
import type { GaugeSources } from '../src/metrics-gauges.js'

const KIND = { name: 'read' } as Kind

const createTestMetrics = (sources: Partial<GaugeSources> = {}): Metrics =>
  createMetrics({ counters: () => ({}), gauges: () => ({}), services: () => [], membersByState: () => ({}), ...sources })

test('durations are cumulative buckets for each service, kind and outcome', async t => {
  const metrics = createTestMetrics()
  metrics.recordDuration('shop', KIND, 'answered', 40)
  metrics.recordDuration('shop', KIND, 'answered', 90)
  metrics.recordDuration('shop', KIND, 'not-run', 1)
  const text = await metrics.text()
  const bucket = (boundMs: string, outcome: string): string => `wisteriavalve_request_duration_ms_bucket{le="${boundMs}",service="shop",kind="read",outcome="${outcome}"}`
  t.true(text.includes('# TYPE wisteriavalve_request_duration_ms histogram'))
  t.true(text.includes(`${bucket('25', 'answered')} 0`))
  t.true(text.includes(`${bucket('50', 'answered')} 1`))
  t.true(text.includes(`${bucket('100', 'answered')} 2`))
  t.true(text.includes(`${bucket('+Inf', 'answered')} 2`))
  t.true(text.includes('wisteriavalve_request_duration_ms_sum{service="shop",kind="read",outcome="answered"} 130'))
  t.true(text.includes(`${bucket('5', 'not-run')} 1`))
})

test('counters never decrease between scrapes', async t => {
  const metrics = createTestMetrics()
  metrics.countResult('shop', KIND, 'answered')
  t.true((await metrics.text()).includes('result="answered"} 1'))
  metrics.countResult('shop', KIND, 'answered')
  t.true((await metrics.text()).includes('result="answered"} 2'))
})

test('requests, budgets, targets and members are reported, the last two by state', async t => {
  const metrics = createTestMetrics({
    services: () => [{ service: 'shop', runningCount: 3, queuedCount: 2, retriesLeft: 5, hedgesLeft: 1, capacity: 8, pressure: 0.25, refusalsByWeight: { 98: 6 }, limitedTargets: 1, coldTargets: 3, pausedTargets: 2, crossZoneRequests: 7, crossZoneBytes: 90_000, overflowShare: 0.4, targetsByState: { ready: 4, ejected: 1 } }],
    membersByState: () => ({ alive: 19, suspect: 1 })
  })
  const text = await metrics.text()
  for (const line of [
    'wisteriavalve_running_requests{service="shop"} 3', 'wisteriavalve_queued_requests{service="shop"} 2', 'wisteriavalve_capacity_requests{service="shop"} 8',
    'wisteriavalve_pressure{service="shop"} 0.25', 'wisteriavalve_load_refusals_total{service="shop",weight="98"} 6',
    'wisteriavalve_retries_left{service="shop"} 5', 'wisteriavalve_hedges_left{service="shop"} 1', 'wisteriavalve_targets{service="shop",state="ejected"} 1',
    'wisteriavalve_limited_targets{service="shop"} 1', 'wisteriavalve_paused_targets{service="shop"} 2', 'wisteriavalve_cold_targets{service="shop"} 3',
    'wisteriavalve_cross_zone_requests_total{service="shop"} 7', 'wisteriavalve_cross_zone_bytes_total{service="shop"} 90000', 'wisteriavalve_zone_overflow_share{service="shop"} 0.4',
    'wisteriavalve_members{state="suspect"} 1'
  ]) t.true(text.split('\n').includes(line), line)
})

test('a state without targets is absent from the next scrape', async t => {
  let targetsByState: Record<string, number> = { ejected: 1 }
  const metrics = createTestMetrics({ services: () => [{ service: 'shop', runningCount: 0, queuedCount: 0, retriesLeft: 0, hedgesLeft: 0, capacity: 0, pressure: 0, refusalsByWeight: {}, limitedTargets: 0, coldTargets: 0, pausedTargets: 0, targetsByState }] })
  t.true((await metrics.text()).includes('state="ejected"'))
  targetsByState = { ready: 1 }
  t.false((await metrics.text()).includes('state="ejected"'))
})

test('a named value is reported from when it is available, and is absent while it is not', async t => {
  let counters: Record<string, number> = {}
  let gauges: Record<string, number> = { store_age_ms: 7 }
  const metrics = createTestMetrics({ counters: () => counters, gauges: () => gauges })
  t.true((await metrics.text()).includes('wisteriavalve_store_age_ms 7'))
  counters = { gossip_rejected_late: 2 }
  gauges = {}
  const text = await metrics.text()
  t.true(text.includes('wisteriavalve_gossip_rejected_late_total 2'))
  t.false(text.includes('wisteriavalve_store_age_ms 7'))
})

test('memory, processor time and event loop delay of the process are reported', async t => {
  const metrics = createTestMetrics()
  metrics.recordLoopDelay(30)
  const text = await metrics.text()
  t.regex(text, /process_resident_memory_bytes \d{6,}/)
  t.regex(text, /process_cpu_seconds_total \d/)
  t.true(text.includes('wisteriavalve_event_loop_delay_ms_bucket{le="50"} 1'))
  t.true(text.includes('wisteriavalve_event_loop_delay_ms_bucket{le="20"} 0'))
})
