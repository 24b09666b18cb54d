/** Guards against requests to draining or failing targets, against ejecting too many targets, and against failing targets that look idle. */
import test from 'ava'
import fc from 'fast-check'
import { createRandom } from '@wisteriavalve/common'
import { createTargetTable, selectTarget, type AttemptOutcome, type DrainSource, type PolicyName, type TargetTable } from '../src/index.js'
import { assertProperty } from './property.js'

const target = (index: number) => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone: 'z' })
const targets = (count: number) => Array.from({ length: count }, (_, index) => target(index))
const createTable = (count: number): TargetTable => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 12 })
  table.setTargets(targets(count), 0)
  return table
}
const attempt = (table: TargetTable, id: string, outcome: AttemptOutcome, nowMs: number, count = 1): void => {
  for (let done = 0; done < count; done++) {
    table.recordStart(id, nowMs)
    if (outcome === 'ok') table.recordFirstByte(id, 20, nowMs)
    table.recordOutcome(id, outcome, outcome === 'ok' ? 20 : 1, nowMs)
  }
}
const health = (table: TargetTable, id: string, nowMs: number): string | undefined =>
  table.snapshot(nowMs).find(({ targetId }) => targetId === id)?.health
const selectionShare = (table: TargetTable, id: string, nowMs: number, policy: PolicyName = 'adaptive', idempotent = true): number => {
  const random = createRandom(3)
  let hits = 0
  for (let count = 0; count < 400; count++) {
    const selection = selectTarget(policy, table, { zone: 'z', exclude: new Set(), idempotent }, nowMs, random)
    if (selection.ok && selection.targetId === id) hits++
  }
  return hits / 400
}

test('five consecutive failures eject a target, four do not; cancelled and refused attempts do not count', t => {
  const table = createTable(10)
  attempt(table, 't0', 'reset', 1, 4)
  attempt(table, 't0', 'cancelled', 1, 5)
  attempt(table, 't0', 'refused', 1, 5)
  t.is(health(table, 't0', 1), 'ready')
  attempt(table, 't0', 'reset', 1)
  t.is(health(table, 't0', 1), 'ejected')
})

test('failures of half of the last 20 attempts eject a target', t => {
  const table = createTable(10)
  for (let count = 0; count < 10; count++) {
    t.is(health(table, 't0', 1), 'ready')
    attempt(table, 't0', 'error-status', 1)
    attempt(table, 't0', 'ok', 1)
  }
  attempt(table, 't0', 'error-status', 1)
  t.is(health(table, 't0', 1), 'ejected')
})

test('the ejection time doubles, and a target on probation gets single idempotent requests', t => {
  const table = createTable(10)
  attempt(table, 't0', 'reset', 0, 5)
  t.is(health(table, 't0', 999), 'ejected')
  t.is(health(table, 't0', 1000), 'probation')
  t.is(selectionShare(table, 't0', 1000, 'random', false), 0)
  t.true(selectionShare(table, 't0', 1000, 'random') > 0)
  table.recordStart('t0', 1000)
  t.is(selectionShare(table, 't0', 1000, 'random'), 0)
  table.recordOutcome('t0', 'reset', 1, 1000)
  t.is(health(table, 't0', 2999), 'ejected')
  t.is(health(table, 't0', 3000), 'probation')
  attempt(table, 't0', 'ok', 3001, 3)
  t.is(health(table, 't0', 3001), 'ready')
})

test('a report of low load or of readiness does not end an ejection', t => {
  const table = createTable(10)
  attempt(table, 't0', 'reset', 0, 5)
  table.recordLoadReport('t0', { inFlight: 0, slots: 4 }, 1)
  table.recordHealthProbe('t0', { ok: true, state: 'ready', load: { inFlight: 0 }, latencyMs: 1 }, 1)
  t.is(health(table, 't0', 1), 'ejected')
})

const sources: DrainSource[] = ['response', 'health-endpoint', 'vm-list', 'peer']

test('property: at most 30% are ejected, and a draining target is never selected', t => {
  const step = fc.record({
    index: fc.integer({ min: 0, max: 11 }),
    event: fc.constantFrom<'drain' | AttemptOutcome>('drain', 'ok', 'reset', 'connect-failed', 'error-status', 'timeout', 'refused'),
    repeat: fc.integer({ min: 1, max: 8 }),
    passMs: fc.integer({ min: 0, max: 3000 })
  })
  assertProperty(t, fc.property(fc.integer({ min: 1, max: 12 }), fc.array(step, { maxLength: 60 }), (count, steps) => {
    const table = createTable(count)
    const drained = new Set<string>()
    let nowMs = 0
    for (const [position, { index, event, repeat, passMs }] of steps.entries()) {
      nowMs += passMs
      const id = `t${index % count}`
      if (event === 'drain') {
        table.recordDraining(id, sources[position % 4] as DrainSource, nowMs)
        drained.add(id)
      } else attempt(table, id, event, nowMs, repeat)
      const states = table.snapshot(nowMs)
      const ejected = states.filter(state => state.health === 'ejected').length
      if (ejected > 0.3 * count) return false
      const selection = selectTarget('adaptive', table, { zone: 'z', exclude: new Set() }, nowMs, createRandom(position))
      if (selection.ok ? drained.has(selection.targetId) : drained.size < count) return false
    }
    return true
  }))
})

test('fail open: ejected targets are used when no other target is left, draining targets never', t => {
  const table = createTable(4)
  attempt(table, 't0', 'reset', 0, 5)
  t.is(health(table, 't0', 0), 'ejected')
  for (const id of ['t1', 't2', 't3']) table.recordDraining(id, 'vm-list', 1)
  t.is(selectionShare(table, 't0', 1), 1)
})

test('a draining target is used again only when a probe succeeds long after the last draining observation', t => {
  const table = createTable(3)
  const readyProbe = { ok: true, state: 'ready', load: {}, latencyMs: 1 } as const
  table.recordDraining('t0', 'response', 0)
  table.recordHealthProbe('t0', readyProbe, 5000)
  attempt(table, 't0', 'ok', 5000)
  t.is(health(table, 't0', 5000), 'draining')
  table.recordHealthProbe('t0', readyProbe, 10_000)
  t.is(health(table, 't0', 10_000), 'cold')
  table.recordPeerObservation({ service: 's', targetId: 't0', observation: 'draining', ageMs: 9000 }, 11_000)
  t.is(health(table, 't0', 11_000), 'cold')
  table.recordPeerObservation({ service: 's', targetId: 't0', observation: 'draining', ageMs: 100 }, 11_000)
  t.is(health(table, 't0', 11_000), 'draining')
})

test('a target that is new in a later list has a slow start of 5 s', t => {
  const table = createTable(4)
  table.setTargets(targets(5), 1000)
  t.true(selectionShare(table, 't4', 1000, 'random') < 0.06)
  t.is(health(table, 't4', 5999), 'cold')
  t.is(health(table, 't4', 6000), 'ready')
  t.true(selectionShare(table, 't4', 6000, 'random') > 0.1)
})

test('a target that a newer list omits is kept until a failed attempt confirms its removal', t => {
  const table = createTable(3)
  table.setTargets(targets(2), 1)
  attempt(table, 't2', 'ok', 2)
  t.is(health(table, 't2', 2), 'ready')
  table.setTargets([], 3)
  t.is(table.snapshot(3).filter(state => state.health === 'ready').length, 3)
  attempt(table, 't2', 'connect-failed', 4)
  t.is(health(table, 't2', 4), 'gone')
})

for (const policy of ['prequal', 'adaptive'] as const) {
  test(`${policy}: a target that fails fast does not look idle`, t => {
    // With three targets, the maximum ejected share allows no ejection.
    const table = createTable(3)
    let nowMs = 0
    let failures = 0
    const random = createRandom(5)
    for (let count = 0; count < 600; count++) {
      nowMs += 5
      const selection = selectTarget(policy, table, { zone: 'z', exclude: new Set() }, nowMs, random)
      if (!selection.ok) continue
      const failed = selection.targetId === 't0'
      if (failed) failures++
      attempt(table, selection.targetId, failed ? 'error-status' : 'ok', nowMs)
    }
    t.true(failures < 60, `${failures} of 600 requests went to the failing target`)
  })
}

test('requests with deadlines shorter than the response time cannot eject a target', t => {
  const table = createTable(10)
  for (let count = 0; count < 60; count++) attempt(table, 't1', 'ok', count)
  attempt(table, 't0', 'timeout', 100, 20)
  t.is(health(table, 't0', 100), 'ready')
})

test('peers are notified of each draining target once, and only by the node that observed it', t => {
  const table = createTable(3)
  table.recordDraining('t0', 'response', 10)
  table.recordDraining('t1', 'peer', 10)
  t.deepEqual(table.takeNotes(30), [{ service: 's', targetId: 't0', observation: 'draining', ageMs: 20, isStated: true }])
  t.deepEqual(table.takeNotes(40), [])
})

test('a target that is unreachable, as observed here or reported by a peer, is the last choice for a short time', t => {
  const own = createTable(3)
  attempt(own, 't0', 'connect-failed', 1000)
  t.is(selectionShare(own, 't0', 1010, 'random'), 0)
  t.true(selectionShare(own, 't0', 1100, 'random') > 0)
  const viaPeer = createTable(3)
  viaPeer.recordPeerObservation({ service: 's', targetId: 't0', observation: 'dead', ageMs: 10 }, 1000)
  t.is(selectionShare(viaPeer, 't0', 1010, 'random'), 0)
  t.true(selectionShare(viaPeer, 't0', 4000, 'random') > 0)
  const single = createTable(1)
  single.recordPeerObservation({ service: 's', targetId: 't0', observation: 'dead', ageMs: 10 }, 1000)
  t.is(selectionShare(single, 't0', 1010, 'random'), 1)
})
