/**
 * Guards against requests sent to a busy or slow target while a free and fast one
 * is in the same zone, against large bodies sent to another zone for a small gain,
 * against waiting when the objective can no longer be met, and against queueing
 * requests that cannot be served.
 */
import test from 'ava'
import { createRandom, type Random } from '@wisteriavalve/common'
import { createTargetTable, createWorkTimes, planPlacement, type LoadReport, type PlacementRequest, type TargetTable } from '../src/index.js'

const NOW_MS = 10_000
const RANDOM: Random = createRandom(5)

const table = (zones: readonly string[]): TargetTable => {
  const created = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8 })
  created.setTargets(zones.map((zone, index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone })), 0)
  return created
}

const request = (fields: Partial<PlacementRequest> = {}): PlacementRequest => ({
  zone: 'a',
  exclude: new Set(),
  idempotent: true,
  bodyBytes: 0,
  workMs: 100,
  objectiveAtMs: NOW_MS + 400,
  deadlineMs: NOW_MS + 1000,
  probed: new Set(),
  mayProbe: () => true,
  mayWait: true,
  mayRefuse: true,
  onlyGood: false,
  ...fields
})

const IDLE: LoadReport = { inFlight: 0, slots: 4, slowdown: 1 }
const SLOWED: LoadReport = { inFlight: 0, slots: 4, slowdown: 5 }
const FULL: LoadReport = { inFlight: 4, slots: 4, slowdown: 1 }
const BACKLOGGED: LoadReport = { inFlight: 12, slots: 4, slowdown: 1 }

const plan = (created: TargetTable, fields: Partial<PlacementRequest> = {}) =>
  planPlacement(created.routing(NOW_MS), request(fields), NOW_MS, RANDOM)

const reportAll = (created: TargetTable, reports: readonly LoadReport[], atMs = NOW_MS): void =>
  reports.forEach((report, index) => created.noteReport(`t${index}`, report, atMs))

test('an idle target of the zone with a fresh report is used without a probe', t => {
  const created = table(['a', 'a', 'b'])
  reportAll(created, [SLOWED, IDLE, IDLE])
  const placement = plan(created)
  t.is(placement.step === 'send' && placement.targetId, 't1')
})

test('with only old reports, a target of the zone is probed first', t => {
  const created = table(['a', 'b'])
  reportAll(created, [IDLE, IDLE], NOW_MS - 100)
  t.deepEqual(plan(created), { step: 'probe', targetIds: ['t0'] })
})

test('a target whose probe limit is reached is not probed', t => {
  const created = table(['a', 'a'])
  reportAll(created, [IDLE, IDLE], NOW_MS - 100)
  t.deepEqual(plan(created, { mayProbe: targetId => targetId === 't1' }), { step: 'probe', targetIds: ['t1'] })
  t.is(plan(created, { mayProbe: () => false, mayWait: false }).step, 'send')
})

test('when the zone has only slowed or full targets, small requests probe other zones and large ones wait', t => {
  const created = table(['a', 'a', 'b'])
  reportAll(created, [SLOWED, FULL])
  t.deepEqual(plan(created), { step: 'probe', targetIds: ['t2'] })
  t.is(plan(created, { bodyBytes: 60_000 }).step, 'wait')
})

test('a large body is sent to another zone when no slot in its own becomes free in time', t => {
  const created = table(['a', 'b'])
  reportAll(created, [BACKLOGGED, IDLE])
  const placement = plan(created, { bodyBytes: 60_000, objectiveAtMs: NOW_MS + 300 })
  t.is(placement.step === 'send' && placement.targetId, 't1')
})

test('when every slot is taken and the objective cannot be met, a request is refused; a free slot on a slow target is used', t => {
  const created = table(['a', 'b'])
  reportAll(created, [FULL, FULL])
  t.is(plan(created, { objectiveAtMs: NOW_MS + 50 }).step, 'refuse')
  reportAll(created, [FULL, { inFlight: 2, slots: 4, slowdown: 5 }])
  const placement = plan(created, { objectiveAtMs: NOW_MS + 50 })
  t.is(placement.step === 'send' && placement.targetId, 't1')
})

test('a large body is sent to another zone when its own has no target', t => {
  const created = table(['b', 'b'])
  reportAll(created, [IDLE, SLOWED])
  const placement = plan(created, { bodyBytes: 60_000 })
  t.is(placement.step === 'send' && placement.targetId, 't0')
})

test('a request waits only while it can still be answered within its objective', t => {
  const created = table(['a'])
  reportAll(created, [SLOWED])
  t.is(plan(created).step, 'wait')
  t.is(plan(created, { objectiveAtMs: NOW_MS + 120 }).step, 'send')
})

test('a request does not wait for a queue that exceeds its objective or its deadline', t => {
  const created = table(['a'])
  reportAll(created, [BACKLOGGED])
  t.is(plan(created, { objectiveAtMs: NOW_MS + 300, deadlineMs: NOW_MS + 310 }).step, 'refuse')
  reportAll(created, [{ inFlight: 5, slots: 4, slowdown: 1 }], NOW_MS)
  t.is(plan(created).step, 'wait')
  t.is(plan(created, { deadlineMs: NOW_MS + 120 }).step, 'refuse')
})

test('a request that cannot be answered before its deadline is refused at once, with a retry time', t => {
  const created = table(['a'])
  reportAll(created, [BACKLOGGED])
  const placement = plan(created, { objectiveAtMs: NOW_MS + 50, deadlineMs: NOW_MS + 150 })
  t.is(placement.step, 'refuse')
  t.true(placement.step === 'refuse' && placement.retryAfterMs >= 100)
  t.is(plan(created, { objectiveAtMs: NOW_MS + 50, deadlineMs: NOW_MS + 150, mayRefuse: false }).step, 'send')
})

test('an idle target that just started is used at once when the zone has no other free and fast one', t => {
  const created = table(['a'])
  created.setTargets([{ id: 't0', host: '127.0.0.1', port: 9000, zone: 'a' }, { id: 'new', host: '127.0.0.1', port: 9100, zone: 'a' }], NOW_MS - 100)
  reportAll(created, [SLOWED])
  created.noteReport('new', IDLE, NOW_MS)
  const placement = plan(created)
  t.is(placement.step === 'send' && placement.targetId, 'new')
  created.noteReport('t0', IDLE, NOW_MS)
  const warm = plan(created)
  t.is(warm.step === 'send' && warm.targetId, 't0')
})

test('a target whose last request failed recently is probed and used after the others', t => {
  const created = table(['a', 'a'])
  created.noteStarted('t0', NOW_MS - 600)
  created.noteFinished('t0', 'reset', 5, NOW_MS - 500)
  t.deepEqual(plan(created), { step: 'probe', targetIds: ['t1'] })
  reportAll(created, [IDLE, IDLE])
  const placement = plan(created)
  t.is(placement.step === 'send' && placement.targetId, 't1')
  created.noteReport('t1', SLOWED, NOW_MS)
  const second = plan(created)
  t.is(second.step === 'send' && second.targetId, 't0')
})

test('targets without a recent report are still used, and cause neither a wait nor a refusal', t => {
  const created = table(['a', 'b'])
  const probed = new Set(['t0', 't1'])
  t.is(plan(created, { probed }).step, 'send')
  t.is(plan(created, { probed, objectiveAtMs: NOW_MS, deadlineMs: NOW_MS + 50 }).step, 'send')
  reportAll(created, [BACKLOGGED, BACKLOGGED], NOW_MS - 1000)
  t.is(plan(created, { probed, objectiveAtMs: NOW_MS, deadlineMs: NOW_MS + 50 }).step, 'send')
})

test('a hedge is sent only to a free and fast target, and an excluded target is not used', t => {
  const created = table(['a'])
  reportAll(created, [SLOWED])
  t.is(plan(created, { onlyGood: true, mayWait: false }).step, 'none')
  t.is(plan(created, { exclude: new Set(['t0']) }).step, 'none')
})

test('the usual service time of a kind is not affected by the slowdown of the targets', t => {
  const workTimes = createWorkTimes()
  t.is(workTimes.usualMs('k', 400), 160)
  for (let count = 0; count < 50; count++) workTimes.note('k', count % 4 === 0 ? 500 : 100, count % 4 === 0 ? 5 : 1)
  t.true(Math.abs(workTimes.usualMs('k', 400) - 100) < 5)
})
