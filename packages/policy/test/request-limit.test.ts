/**
 * Guards against a limit of a target that is misread, outlived by a late response,
 * revived by a stale one or lost, and against a request that is placed at a target
 * whose permits are used up.
 */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { createTargetTable, parseRequestLimit, planPlacement, selectTarget, type PlacementRequest, type TargetTable } from '../src/index.js'
import { createPlacementRequest } from './placement-request.js'

const NOW_MS = 10_000

const createTable = (targetCount: number, changes: Array<number | undefined> = []): TargetTable => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8, onRequestLimit: (_targetId, limitPerS) => { changes.push(limitPerS) } })
  table.setTargets(Array.from({ length: targetCount }, (_, index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone: 'a' })), 0)
  return table
}

const place = (table: TargetTable, fields: Partial<PlacementRequest> = {}) =>
  planPlacement(table.routing(NOW_MS), createPlacementRequest(NOW_MS, { permitWaitMaxMs: 300, ...fields }), NOW_MS, createRandom(1))

for (const [text, expected] of [
  ['5.3', 5.3], ['0', 0], ['0.05', 0.05], ['12', 12], [' 7 ', 7], [undefined, 'none'],
  ['', 'unreadable'], ['-1', 'unreadable'], ['NaN', 'unreadable'], ['Infinity', 'unreadable'], ['1e3', 'unreadable'], ['5,3', 'unreadable'], ['5 3', 'unreadable'], ['0x10', 'unreadable']
] as const) {
  test(`the limit ${JSON.stringify(text)} is read as ${expected}`, t => { t.is(parseRequestLimit(text), expected) })
}

test('a limit ends only with the response to a request that was written after it was stated', t => {
  const changes: Array<number | undefined> = []
  const table = createTable(1, changes)
  table.recordStatedLimit('t0', 5, 900, 1_000)
  table.recordStatedLimit('t0', 'none', 950, 1_100)
  table.recordStatedLimit('t0', 'unreadable', 1_050, 1_150)
  t.is(table.requestLimitPerS('t0'), 5)
  table.recordStatedLimit('t0', 'none', 1_050, 1_200)
  t.is(table.requestLimitPerS('t0'), undefined)
  t.deepEqual(changes, [5, undefined])
})

test('a newer statement of another node is taken, and an older one is not', t => {
  const table = createTable(1)
  table.recordStatedLimit('t0', 5, 900, 1_000)
  table.recordLimitStatement('t0', { limitPerS: 2, ageMs: 500 }, 1_200)
  t.is(table.requestLimitPerS('t0'), 5)
  table.recordLimitStatement('t0', { limitPerS: 2, ageMs: 100 }, 1_200)
  t.is(table.requestLimitPerS('t0'), 2)
  table.recordLimitStatement('t0', { limitPerS: null, ageMs: 0 }, 1_300)
  t.is(table.requestLimitPerS('t0'), undefined)
})

test('peers are told once of a new limit, and a peer that hears of it keeps it', t => {
  const [first, second] = [createTable(1), createTable(1)]
  first.recordStatedLimit('t0', 5.3, 900, 1_000)
  const notes = first.takeNotes(1_050).filter(({ limitPerS }) => limitPerS !== undefined)
  t.deepEqual(notes, [{ service: 's', targetId: 't0', observation: 'answering', ageMs: 50, limitPerS: 5.3 }])
  first.recordStatedLimit('t0', 5.1, 1_060, 1_100)
  t.deepEqual(first.takeNotes(1_150).filter(({ limitPerS }) => limitPerS !== undefined), [])
  for (const note of notes) second.recordPeerObservation(note, 1_060)
  t.is(second.requestLimitPerS('t0'), 5.3)
})

test('another incarnation of a target has no limit', t => {
  const table = createTable(1)
  table.recordStatedLimit('t0', 5, 900, 1_000)
  table.setTargets([{ id: 't0', host: '127.0.0.1', port: 9000, zone: 'a', incarnation: 2 }], 1_100)
  t.is(table.requestLimitPerS('t0'), undefined)
})

test('a limited target is used while a permit is due, without a probe, and not after a denial', t => {
  const table = createTable(2)
  table.recordStatedLimit('t0', 5, 900, 1_000)
  t.like(place(table), { step: 'send', targetId: 't0', permitWaitMaxMs: 0 })
  table.recordPermitDenied('t0', 200, NOW_MS)
  t.deepEqual(place(table), { step: 'probe', targetIds: ['t1'] })
})

test('a hedge takes no permit', t => {
  const table = createTable(2)
  table.recordStatedLimit('t0', 5, 900, 1_000)
  t.deepEqual(place(table, { requiresFreeAndFast: true, canProbe: () => false }), { step: 'none' })
})

test('when all targets are limited, a request waits for the permit that is due first, or is refused at once with a spread Retry-After', t => {
  const table = createTable(2)
  for (const targetId of ['t0', 't1']) table.recordStatedLimit(targetId, 5, 900, 1_000)
  table.recordPermitDenied('t0', 500, NOW_MS)
  table.recordPermitDenied('t1', 200, NOW_MS)
  t.like(place(table), { step: 'send', targetId: 't1', permitWaitMaxMs: 300 })
  table.recordPermitDenied('t1', 400, NOW_MS)
  const refusal = place(table)
  t.like(refusal, { step: 'refuse', cause: 'rate-limited' })
  t.true(refusal.step === 'refuse' && refusal.retryAfterMs >= 400 && refusal.retryAfterMs <= 800)
})

test('the policies without load probes keep to permits as well', t => {
  const table = createTable(2)
  table.recordStatedLimit('t0', 5, 900, 1_000)
  table.recordPermitDenied('t0', 400, NOW_MS)
  const select = (exclude: string[], permitWaitMaxMs = 0) =>
    selectTarget('two-choices', table, { zone: 'a', exclude: new Set(exclude), permitWaitMaxMs }, NOW_MS, createRandom(1))
  t.like(select([]), { ok: true, targetId: 't1' })
  t.like(select(['t1']), { ok: false, error: 'rate-limited' })
  t.like(select(['t1'], 500), { ok: true, targetId: 't0', permitWaitMaxMs: 500 })
})
