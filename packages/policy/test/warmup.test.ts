/**
 * Guards against requests to a cold target without a permit, beyond its share or
 * for which it is too slow, against hedges at cold targets, and against requests
 * that wait for a permit which comes too late.
 */
import test from 'ava'
import { createRandom, type ListedTarget } from '@wisteriavalve/common'
import { createTargetTable, planPlacement, selectTarget, type PlacementRequest, type TargetTable, type WarmupOptions } from '../src/index.js'
import { createPlacementRequest } from './placement-request.js'

const NOW_MS = 10_000
const RATE = { durationMs: 3_000, ratePerS: 3.4, trustMs: 1_000 }

const createTarget = (index: number, fields: Partial<ListedTarget> = {}): ListedTarget => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone: 'a', ...fields })

/** The first targets are cold, the others are warm and have reported that they are idle. */
const createTable = (coldCount: number, warmCount: number, { warmup = RATE as WarmupOptions | null, events = [] as unknown[] } = {}): TargetTable => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8, warmup: warmup ?? undefined, onWarmup: (...event) => { events.push(event) } })
  table.setTargets(Array.from({ length: coldCount + warmCount }, (_, index) => createTarget(index)), 0)
  for (let index = 0; index < coldCount + warmCount; index++) {
    table.recordWarmup(`t${index}`, index < coldCount ? 2_000 : 0, NOW_MS)
    table.recordLoadReport(`t${index}`, { inFlight: 0, slots: 4, slowdown: 1 }, NOW_MS)
  }
  return table
}

const report = (table: TargetTable, targetId: string, inFlight: number, slowdown = 1): void => table.recordLoadReport(targetId, { inFlight, slots: 4, slowdown }, NOW_MS)

const place = (table: TargetTable, fields: Partial<PlacementRequest> = {}, nowMs = NOW_MS) =>
  planPlacement(table.routing(nowMs), createPlacementRequest(nowMs, { warmupDraw: 0.999, permitWaitMaxMs: 300, ...fields }), nowMs, createRandom(1))

test('each cold target gets the share of one target, from requests that allow for its slowness', t => {
  const table = createTable(2, 8)
  const counts = new Map<string, number>()
  for (let number = 0; number < 1_000; number++) {
    const step = place(table, { warmupDraw: number / 1_000 })
    if (step.step === 'send') counts.set(step.targetId, (counts.get(step.targetId) ?? 0) + 1)
  }
  t.is(counts.get('t0'), 100)
  t.is(counts.get('t1'), 100)
  const placedAt = (fields: Partial<PlacementRequest>): string => JSON.stringify(place(table, { warmupDraw: 0, ...fields }))
  t.regex(placedAt({}), /"t0"/)
  t.notRegex(placedAt({ objectiveEndMs: NOW_MS + 150 }), /"t0"/)
  table.recordWarmupPermitDenied('t0', 500, NOW_MS)
  t.notRegex(placedAt({}), /"t0"/)
})

test('what warm targets cannot serve quickly goes to a cold target, but only while a permit may be available', t => {
  const table = createTable(1, 2)
  for (const targetId of ['t1', 't2']) report(table, targetId, 4)
  const probed = new Set(['t1', 't2'])
  t.like(place(table, { probed }), { step: 'send', targetId: 't0' })
  table.recordWarmupPermitDenied('t0', 500, NOW_MS)
  t.like(place(table, { probed }), { step: 'wait' })
  t.like(place(table, { probed, canWait: false }), { step: 'refuse', cause: 'late' })
})

test('a request that a cold target would answer too late does not overflow to it', t => {
  const table = createTable(1, 1)
  report(table, 't1', 4)
  t.like(place(table, { canWait: false, objectiveEndMs: NOW_MS + 150, deadlineMs: NOW_MS + 180 }), { step: 'refuse', cause: 'late' })
})

test('when all targets are cold, a request waits for a permit that comes in time and is refused at once otherwise', t => {
  const table = createTable(2, 0)
  for (const targetId of ['t0', 't1']) table.recordWarmupPermitDenied(targetId, targetId === 't0' ? 150 : 400, NOW_MS)
  t.like(place(table), { step: 'send', targetId: 't0', permitWaitMaxMs: 200 })
  t.like(place(table, { permitWaitMaxMs: 240 }), { step: 'refuse', cause: 'rate-limited' })
  t.like(place(table, { permitWaitMaxMs: 240, canRefuse: false }), { step: 'none' })
})

test('while a request asks for a later permit, the following ones expect the permit after it', t => {
  const table = createTable(1, 0)
  table.recordWarmupPermitDenied('t0', 150, NOW_MS)
  table.recordWarmupQuery('t0', NOW_MS + 150, NOW_MS)
  t.like(place(table), { step: 'refuse', cause: 'rate-limited' })
  const asked = createTable(1, 0)
  asked.recordWarmupQuery('t0', NOW_MS, NOW_MS)
  t.like(place(asked), { step: 'send', targetId: 't0' })
})

test('a hedge never goes to a cold target, with and without a rate', t => {
  for (const warmup of [RATE, { ...RATE, ratePerS: 0 }]) {
    const hedge = { requiresFreeAndFast: true, canWait: false, canRefuse: false, canProbe: () => false }
    t.like(place(createTable(3, 0, { warmup }), { ...hedge, warmupDraw: 0 }), { step: 'none' })
    const mixed = createTable(3, 1, { warmup })
    t.like(place(mixed, { ...hedge, warmupDraw: 0 }), { step: 'send', targetId: 't3' })
    const select = { zone: 'a', exclude: new Set<string>(), excludesCold: true }
    for (let seed = 0; seed < 20; seed++) t.like(selectTarget('adaptive', mixed, select, NOW_MS, createRandom(seed)), { ok: true, targetId: 't3' })
  }
})

test('without a recent health response, a target is probed or gets requests only with a permit', t => {
  const table = createTable(0, 1)
  const laterMs = NOW_MS + 1_001
  // The report of a response does not say whether the target is cold.
  table.recordLoadReport('t0', { inFlight: 0, slots: 4, slowdown: 1 }, laterMs)
  t.false(table.needsWarmupPermit('t0', NOW_MS + 1_000))
  t.true(table.needsWarmupPermit('t0', laterMs))
  t.deepEqual(place(table, {}, laterMs), { step: 'probe', targetIds: ['t0'] })
  t.like(place(table, { canProbe: () => false }, laterMs), { step: 'send', targetId: 't0', permitWaitMaxMs: 200 })
  table.recordWarmupPermitDenied('t0', 5_000, laterMs)
  t.like(place(table, { canProbe: () => false }, laterMs), { step: 'refuse', cause: 'rate-limited' })
  table.recordWarmup('t0', undefined, laterMs)
  t.like(place(table, {}, laterMs), { step: 'send', targetId: 't0' })
})

test('a quarter of the drawn targets of the own zone with an old health response is probed although others are free, and none without a rate or in another zone', t => {
  const probedFor = (fields: Partial<PlacementRequest>, warmup: WarmupOptions = RATE): number => {
    const table = createTable(0, 4, { warmup })
    const laterMs = NOW_MS + 1_001
    table.recordWarmup('t0', 0, laterMs)
    table.recordLoadReport('t0', { inFlight: 0, slots: 4, slowdown: 1 }, laterMs)
    const steps = Array.from({ length: 400 }, (_, number) => place(table, { warmupDraw: number / 400, ...fields }, laterMs))
    return steps.filter(step => step.step === 'probe').length
  }
  t.is(probedFor({}), 75)
  t.is(probedFor({ canProbe: () => false }), 0)
  t.is(probedFor({}, { ...RATE, ratePerS: 0 }), 0)
  t.is(probedFor({ zone: 'b' }), 0)
})

test('a busy node probes a target again although responses report its load', t => {
  const table = createTable(0, 1)
  const laterMs = NOW_MS + 101
  table.recordLoadReport('t0', { inFlight: 0, slots: 4, slowdown: 1 }, laterMs)
  t.deepEqual(place(table, {}, laterMs), { step: 'probe', targetIds: ['t0'] })
})

test('a target is taken for cold after an evacuation of its zone, a failed connection and a pause, until its next health response', t => {
  const events: unknown[] = []
  const table = createTable(0, 3, { events })
  table.setTargets([createTarget(0, { zone: 'b' }), createTarget(1), createTarget(2)], NOW_MS)
  table.expectWarmup('b', NOW_MS)
  table.recordStart('t1', NOW_MS)
  table.recordOutcome('t1', 'connect-failed', 1, NOW_MS)
  t.deepEqual(['t0', 't1', 't2'].map(targetId => table.needsWarmupPermit(targetId, NOW_MS)), [true, true, false])
  t.is(table.coldCount(NOW_MS), 2)
  table.resumeAfterPause(5_000, NOW_MS)
  t.is(table.coldCount(NOW_MS), 3)
  for (const targetId of ['t0', 't1', 't2']) table.recordWarmup(targetId, 0, NOW_MS)
  t.is(table.coldCount(NOW_MS), 0)
  t.deepEqual(events, [['t0', true, 'evacuation-ended'], ['t1', true, 'connect-failed'], ['t0', false, 'stated'], ['t1', false, 'stated']])
})

test('a known cold period ends when its time is over or a health response says so, and an entry is applied once', t => {
  const events: unknown[] = []
  const table = createTable(2, 0, { events })
  table.recordWarmup('t0', 0, NOW_MS + 100)
  t.is(table.coldCount(NOW_MS + 100), 1)
  table.recordWarmup('t1', undefined, NOW_MS + 1_900)
  t.is(table.coldCount(NOW_MS + 1_900), 1, 'a response without a statement does not end a stated time')
  table.routing(NOW_MS + 2_000)
  t.deepEqual(events.slice(-2), [['t0', false, 'stated'], ['t1', false, 'time-over']])
  for (const [warmupLeftMs, expected] of [[3_000, 1], [3_000, 0], [2_000, 1]] as const) {
    table.setTargets([createTarget(0, { warmupLeftMs }), createTarget(1)], NOW_MS + 3_000)
    t.is(table.coldCount(NOW_MS + 3_000), expected)
    table.recordWarmup('t0', 0, NOW_MS + 3_000)
  }
})

test('without load probes, a target that is newly listed is cold for the warm-up time of its service', t => {
  const table = createTable(0, 1, { warmup: { ...RATE, trustMs: Infinity } })
  table.setTargets([createTarget(0), createTarget(1)], NOW_MS)
  t.deepEqual([NOW_MS, NOW_MS + 2_999, NOW_MS + 3_000].map(nowMs => table.needsWarmupPermit('t1', nowMs)), [true, true, false])
  t.false(table.needsWarmupPermit('t0', NOW_MS))
})

test('a request limit and the warm-up of a target both bind', t => {
  const table = createTable(1, 0)
  table.recordStatedLimit('t0', 5, NOW_MS - 10, NOW_MS)
  t.like(place(table), { step: 'send', targetId: 't0' })
  table.recordPermitDenied('t0', 5_000, NOW_MS)
  t.like(place(table), { step: 'refuse', cause: 'rate-limited' })
  const denied = createTable(1, 0)
  denied.recordStatedLimit('t0', 5, NOW_MS - 10, NOW_MS)
  denied.recordWarmupPermitDenied('t0', 5_000, NOW_MS)
  t.like(place(denied), { step: 'refuse', cause: 'rate-limited' })
})

test('a service without a warm-up ignores all statements', t => {
  const events: unknown[] = []
  const table = createTable(2, 0, { warmup: null, events })
  table.setTargets([createTarget(0, { warmupLeftMs: 3_000 }), createTarget(1)], NOW_MS)
  table.expectWarmup('a', NOW_MS)
  t.is(table.coldCount(NOW_MS), 0)
  t.false(table.needsWarmupPermit('t0', NOW_MS + 60_000))
  t.deepEqual(events, [])
})

test('without load probes, a node refuses requests beyond the warm-up permits of a service that is all cold', t => {
  const table = createTable(2, 0, { warmup: { ...RATE, trustMs: Infinity } })
  const request = { zone: 'a', exclude: new Set<string>(), permitWaitMaxMs: 100 }
  t.like(selectTarget('adaptive', table, request, NOW_MS, createRandom(1)), { ok: true })
  for (const targetId of ['t0', 't1']) table.recordWarmupPermitDenied(targetId, 500, NOW_MS)
  t.like(selectTarget('adaptive', table, request, NOW_MS, createRandom(1)), { ok: false, error: 'rate-limited' })
})
