/**
 * Guards against a pause that is misread, cut short or ignored when no other
 * target is usable, and against a target that stated that it is draining and is
 * used again because a list shows it.
 */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { canTakeRetry, createTargetTable, parsePauseMs, selectTarget, type TargetTable } from '../src/index.js'

const TARGET = { id: 't0', host: '127.0.0.1', port: 9000, zone: 'a' }
const OTHER = { id: 't1', host: '127.0.0.1', port: 9001, zone: 'a' }

const createTable = (targets = [TARGET, OTHER]): TargetTable => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8 })
  table.setTargets(targets, 0)
  return table
}

const select = (table: TargetTable, nowMs: number) => selectTarget('two-choices', table, { zone: 'a', exclude: new Set() }, nowMs, createRandom(1))

const healthOf = (table: TargetTable, targetId = 't0') => table.snapshot(4_500).find(status => status.targetId === targetId)?.health

for (const [text, expected] of [
  ['3', 3_000], ['0.25', 250], ['86400', 3_600_000], ['Fri, 04 Dec 2026 20:00:05 GMT', 5_000],
  ['0', undefined], ['-1', undefined], ['NaN', undefined], ['soon', undefined], ['', undefined], [undefined, undefined], ['Fri, 04 Dec 2026 19:59:00 GMT', undefined], ['Fri, 99 Dec', undefined]
] as const) {
  test(`the Retry-After ${JSON.stringify(text)} of a target is read as ${expected} ms`, t => {
    t.is(parsePauseMs(text, Date.parse('2026-12-04T20:00:00Z')), expected)
  })
}

test('a paused target is not used before the end of its pause, and a shorter pause does not cut a longer one', t => {
  const table = createTable()
  table.recordPause('t0', 3_000, 1_000)
  table.recordPause('t0', 500, 1_500)
  for (const nowMs of [1_001, 2_500, 3_999]) t.like(select(table, nowMs), { ok: true, targetId: 't1' })
  t.true(table.isPaused('t0', 3_999))
  t.false(table.isPaused('t0', 4_000))
  t.false(table.routing(2_000).candidates.filter(state => canTakeRetry(state, 'refused', 2_000)).some(({ target }) => target.id === 't0'))
})

test('when all targets are paused, requests are refused with a time after the end of the shortest pause', t => {
  const table = createTable()
  table.recordPause('t0', 3_000, 1_000)
  table.recordPause('t1', 2_000, 1_000)
  const selection = select(table, 2_000)
  t.like(selection, { ok: false, error: 'paused' })
  t.true('retryAfterMs' in selection && selection.retryAfterMs >= 1_000 && selection.retryAfterMs <= 2_000)
})

test('peers are told of a pause and keep what is left of it', t => {
  const [first, second] = [createTable(), createTable()]
  first.recordPause('t0', 3_000, 1_000)
  const notes = first.takeNotes(1_500).filter(({ pauseMs }) => pauseMs !== undefined)
  t.deepEqual(notes, [{ service: 's', targetId: 't0', observation: 'answering', ageMs: 0, pauseMs: 2_500 }])
  for (const note of notes) second.recordPeerObservation({ ...note, ageMs: 100 }, 1_600)
  t.true(second.isPaused('t0', 3_999))
  t.false(second.isPaused('t0', 4_001))
})

test('a target that stated that it is draining is not used again when a list shows it anew, and its next incarnation is', t => {
  const table = createTable()
  table.recordDraining('t0', 'response', 1_000)
  table.setTargets([OTHER], 2_000)
  table.setTargets([TARGET, OTHER], 3_000)
  t.not(healthOf(table), 'cold')
  t.like(select(table, 3_100), { ok: true, targetId: 't1' })
  table.setTargets([{ ...TARGET, incarnation: 2 } as typeof TARGET, OTHER], 4_000)
  t.is(healthOf(table), 'cold')
})

test('a peer that hears that a target stated its draining does not use it again either', t => {
  const [first, second] = [createTable(), createTable()]
  first.recordDraining('t0', 'response', 1_000)
  for (const note of first.takeNotes(1_050)) second.recordPeerObservation(note, 1_100)
  second.setTargets([OTHER], 2_000)
  second.setTargets([TARGET, OTHER], 3_000)
  t.not(healthOf(second), 'cold')
})

test('what is known of a target outlives a change of the sizes of its service', t => {
  const table = createTable()
  table.recordDraining('t0', 'response', 1_000)
  table.recordStatedLimit('t1', 5, 900, 1_000)
  table.resize({ slotsPerTarget: 2, connectionShare: 1 })
  t.is(healthOf(table), 'draining')
  t.is(table.requestLimitPerS('t1'), 5)
  t.is(table.snapshot(10_000).find(({ targetId }) => targetId === 't1')?.limit, 1)
})
