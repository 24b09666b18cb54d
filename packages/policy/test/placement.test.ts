/**
 * Guards against requests sent to a busy or slow target while a free and fast one
 * is in the same zone, against large bodies sent to another zone for a small gain,
 * against waiting when the objective can no longer be met, and against queueing
 * requests that cannot be served.
 */
import test from 'ava'
import { createRandom, type Random } from '@wisteriavalve/common'
import { createTargetTable, createServiceTimes, planPlacement, type LoadReport, type PlacementRequest, type TargetTable } from '../src/index.js'
import { createPlacementRequest } from './placement-request.js'

const NOW_MS = 10_000
const RANDOM: Random = createRandom(5)

const table = (zones: readonly string[]): TargetTable => {
  const targetTable = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8 })
  targetTable.setTargets(zones.map((zone, index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone })), 0)
  return targetTable
}

const IDLE: LoadReport = { inFlight: 0, slots: 4, slowdown: 1 }
const SLOWED: LoadReport = { inFlight: 0, slots: 4, slowdown: 5 }
const FULL: LoadReport = { inFlight: 4, slots: 4, slowdown: 1 }
const BACKLOGGED: LoadReport = { inFlight: 12, slots: 4, slowdown: 1 }

const plan = (targetTable: TargetTable, fields: Partial<PlacementRequest> = {}) =>
  planPlacement(targetTable.routing(NOW_MS), createPlacementRequest(NOW_MS, fields), NOW_MS, RANDOM)

const reportAll = (targetTable: TargetTable, reports: readonly LoadReport[], atMs = NOW_MS): void =>
  reports.forEach((report, index) => targetTable.recordLoadReport(`t${index}`, report, atMs))

test('an idle target of the zone with a fresh report is used without a probe', t => {
  const targetTable = table(['a', 'a', 'b'])
  reportAll(targetTable, [SLOWED, IDLE, IDLE])
  const placement = plan(targetTable)
  t.is(placement.step === 'send' && placement.targetId, 't1')
})

test('with only old reports, a target of the zone is probed first', t => {
  const targetTable = table(['a', 'b'])
  reportAll(targetTable, [IDLE, IDLE], NOW_MS - 100)
  t.deepEqual(plan(targetTable), { step: 'probe', targetIds: ['t0'] })
})

test('a target whose probe limit is reached is not probed', t => {
  const targetTable = table(['a', 'a'])
  reportAll(targetTable, [IDLE, IDLE], NOW_MS - 100)
  t.deepEqual(plan(targetTable, { canProbe: targetId => targetId === 't1' }), { step: 'probe', targetIds: ['t1'] })
  t.is(plan(targetTable, { canProbe: () => false, canWait: false }).step, 'send')
})

test('when the zone has only slowed or full targets, small requests probe other zones and large ones wait', t => {
  const targetTable = table(['a', 'a', 'b'])
  reportAll(targetTable, [SLOWED, FULL])
  t.deepEqual(plan(targetTable), { step: 'probe', targetIds: ['t2'] })
  t.is(plan(targetTable, { bodyBytes: 60_000 }).step, 'wait')
})

test('a large body is sent to another zone when no slot in its own becomes free in time', t => {
  const targetTable = table(['a', 'b'])
  reportAll(targetTable, [BACKLOGGED, IDLE])
  const placement = plan(targetTable, { bodyBytes: 60_000, objectiveEndMs: NOW_MS + 300 })
  t.is(placement.step === 'send' && placement.targetId, 't1')
})

test('when every slot is taken and the objective cannot be met, a request is refused; a free slot on a slow target is used', t => {
  const targetTable = table(['a', 'b'])
  reportAll(targetTable, [FULL, FULL])
  t.is(plan(targetTable, { objectiveEndMs: NOW_MS + 50 }).step, 'refuse')
  reportAll(targetTable, [FULL, { inFlight: 2, slots: 4, slowdown: 5 }])
  const placement = plan(targetTable, { objectiveEndMs: NOW_MS + 50 })
  t.is(placement.step === 'send' && placement.targetId, 't1')
})

test('a large body is sent to another zone when its own has no target', t => {
  const targetTable = table(['b', 'b'])
  reportAll(targetTable, [IDLE, SLOWED])
  const placement = plan(targetTable, { bodyBytes: 60_000 })
  t.is(placement.step === 'send' && placement.targetId, 't0')
})

test('a request waits only while it can still be answered within its objective', t => {
  const targetTable = table(['a'])
  reportAll(targetTable, [SLOWED])
  t.is(plan(targetTable).step, 'wait')
  t.is(plan(targetTable, { objectiveEndMs: NOW_MS + 120 }).step, 'send')
})

test('a request does not wait for a queue that exceeds its objective or its deadline', t => {
  const targetTable = table(['a'])
  reportAll(targetTable, [BACKLOGGED])
  t.is(plan(targetTable, { objectiveEndMs: NOW_MS + 300, deadlineMs: NOW_MS + 310 }).step, 'refuse')
  reportAll(targetTable, [{ inFlight: 5, slots: 4, slowdown: 1 }], NOW_MS)
  t.is(plan(targetTable).step, 'wait')
  t.is(plan(targetTable, { deadlineMs: NOW_MS + 120 }).step, 'refuse')
})

test('a request that cannot be answered before its deadline is refused at once, with a retry time', t => {
  const targetTable = table(['a'])
  reportAll(targetTable, [BACKLOGGED])
  const placement = plan(targetTable, { objectiveEndMs: NOW_MS + 50, deadlineMs: NOW_MS + 150 })
  t.is(placement.step, 'refuse')
  t.true(placement.step === 'refuse' && placement.retryAfterMs >= 100)
  t.is(plan(targetTable, { objectiveEndMs: NOW_MS + 50, deadlineMs: NOW_MS + 150, canRefuse: false }).step, 'send')
})

test('an idle target that just started is used at once when the zone has no other free and fast one', t => {
  const targetTable = table(['a'])
  targetTable.setTargets([{ id: 't0', host: '127.0.0.1', port: 9000, zone: 'a' }, { id: 'new', host: '127.0.0.1', port: 9100, zone: 'a' }], NOW_MS - 100)
  reportAll(targetTable, [SLOWED])
  targetTable.recordLoadReport('new', IDLE, NOW_MS)
  const placement = plan(targetTable)
  t.is(placement.step === 'send' && placement.targetId, 'new')
  targetTable.recordLoadReport('t0', IDLE, NOW_MS)
  const warm = plan(targetTable)
  t.is(warm.step === 'send' && warm.targetId, 't0')
})

test('a target whose last request failed is asked and used after the others, until it is forgiven', t => {
  const targetTable = table(['a', 'a'])
  targetTable.recordStart('t0', NOW_MS - 600)
  targetTable.recordOutcome('t0', 'reset', 5, NOW_MS - 500)
  t.deepEqual(plan(targetTable), { step: 'probe', targetIds: ['t1'] })
  reportAll(targetTable, [IDLE, IDLE])
  const placement = plan(targetTable)
  t.is(placement.step === 'send' && placement.targetId, 't1')
  targetTable.recordLoadReport('t1', SLOWED, NOW_MS)
  const second = plan(targetTable)
  t.is(second.step === 'send' && second.targetId, 't0')
})

test('targets without a recent report are still used, and cause neither a wait nor a refusal', t => {
  const targetTable = table(['a', 'b'])
  const probed = new Set(['t0', 't1'])
  t.is(plan(targetTable, { probed }).step, 'send')
  t.is(plan(targetTable, { probed, objectiveEndMs: NOW_MS, deadlineMs: NOW_MS + 50 }).step, 'send')
  reportAll(targetTable, [BACKLOGGED, BACKLOGGED], NOW_MS - 1000)
  t.is(plan(targetTable, { probed, objectiveEndMs: NOW_MS, deadlineMs: NOW_MS + 50 }).step, 'send')
})

test('a hedge is sent only to a free and fast target, and an excluded target is not used', t => {
  const targetTable = table(['a'])
  reportAll(targetTable, [SLOWED])
  t.is(plan(targetTable, { requiresFreeAndFast: true, canWait: false }).step, 'none')
  t.is(plan(targetTable, { exclude: new Set(['t0']) }).step, 'none')
})

test('the usual service time of a kind is not affected by the slowdown of the targets', t => {
  const serviceTimes = createServiceTimes()
  t.is(serviceTimes.usualMs('k', 400), 160)
  for (let count = 0; count < 50; count++) serviceTimes.record('k', count % 4 === 0 ? 500 : 100, count % 4 === 0 ? 5 : 1)
  t.true(Math.abs(serviceTimes.usualMs('k', 400) - 100) < 5)
})
