/**
 * Guards against an evacuation that is lost with a restore of the store, that
 * ends because a node of an earlier release does not know it, or that does not
 * end when its key is removed.
 */
import test from 'ava'
import { createChangeLog, createPublishedState, EVACUATION_GRACE_MS, fromAnnouncedHash, fromSentChanges, toAnnouncedHash, toSentChanges, type PublishedChange, type PublishedState, type PublishedStateView, type StorePosition } from '../src/index.js'

const at = (revision: number, restoreCount = 0): StorePosition => ({ restoreCount, revision })

const viewAt = (position: StorePosition, evacuatedZones?: readonly string[]): PublishedStateView => ({ ...position, targets: [], ...(evacuatedZones && { evacuatedZones }) })

const evacuation = (zone: string, isActive = true): PublishedChange => ({ type: 'evacuation', zone, isActive })

const zonesAt = (state: PublishedState, nowMs: number): string[] => {
  state.takeChanges(nowMs)
  return [...state.evacuatedZones()]
}

const startedWith = (...zones: string[]): PublishedState => {
  const state = createPublishedState()
  state.applyAll(viewAt(at(5), zones), 0)
  return state
}

test('an evacuation begins with the whole state or a change, and ends with its removal', t => {
  const state = startedWith('a')
  t.deepEqual([...state.takeChanges(0).evacuatedZones ?? []], ['a'])
  t.is(state.takeChanges(1).evacuatedZones, undefined)
  state.applyChanges(at(6), [evacuation('b')], 2)
  t.deepEqual([...state.takeChanges(2).evacuatedZones ?? []], ['a', 'b'])
  state.applyChanges(at(7), [evacuation('a', false)], 3)
  t.deepEqual([...state.takeChanges(3).evacuatedZones ?? []], ['b'])
  state.applyChanges(at(6), [evacuation('a')], 4)
  t.deepEqual(zonesAt(state, 4), ['b'], 'a change from before the removal')
})

test('an evacuation ends at once when the whole state is read again, after lost history, without it', t => {
  const state = startedWith('a')
  state.applyAll(viewAt(at(9), []), 60_000)
  t.deepEqual(zonesAt(state, 60_000), [])
})

test('an evacuation that a restored store lacks stays in force until it is written again or the grace period is over', t => {
  for (const isWrittenAgain of [true, false]) {
    const state = startedWith('a')
    state.applyAll(viewAt(at(2, 1), []), 60_000)
    state.applyAll(viewAt(at(3, 1), []), 60_500)
    if (isWrittenAgain) state.applyChanges(at(4, 1), [evacuation('a')], 63_900)
    t.deepEqual(zonesAt(state, 60_000 + EVACUATION_GRACE_MS - 1), ['a'])
    t.deepEqual(zonesAt(state, 60_000 + EVACUATION_GRACE_MS), isWrittenAgain ? ['a'] : [])
  }
})

test('a second restore within the grace period starts a new one', t => {
  const state = startedWith('a')
  state.applyAll(viewAt(at(2, 1), []), 60_000)
  state.applyAll(viewAt(at(2, 2), []), 61_500)
  t.deepEqual(zonesAt(state, 61_500 + EVACUATION_GRACE_MS - 1), ['a'])
  t.deepEqual(zonesAt(state, 61_500 + EVACUATION_GRACE_MS), [])
})

test('a removal ends an evacuation also within the grace period', t => {
  const state = startedWith('a')
  state.applyAll(viewAt(at(2, 1), []), 60_000)
  state.applyChanges(at(3, 1), [evacuation('a', false)], 60_100)
  t.deepEqual(zonesAt(state, 60_100), [])
})

test('an evacuation that is missing right after the store was unreachable stays in force for the grace period', t => {
  const state = startedWith('a')
  state.recordStoreUnreachable()
  state.recordStoreReachable(60_000)
  state.applyAll(viewAt(at(9), []), 60_000)
  t.deepEqual(zonesAt(state, 60_000 + EVACUATION_GRACE_MS - 1), ['a'])
  t.deepEqual(zonesAt(state, 60_000 + EVACUATION_GRACE_MS), [])
})

test('a view of a node of an earlier release, which has no such field, and a view from before the current position change nothing', t => {
  const state = startedWith('a')
  state.applyAll(viewAt(at(9)), 60_000)
  state.applyAll(viewAt(at(8), ['b']), 60_000)
  t.deepEqual(zonesAt(state, 120_000), ['a'])
})

test('a view lists what the store lists, so a grace period does not start anew at each node that reads it', t => {
  const state = startedWith('a', 'b')
  state.applyAll(viewAt(at(2, 1), ['b']), 60_000)
  t.deepEqual(zonesAt(state, 60_000), ['a', 'b'])
  t.deepEqual(state.view().evacuatedZones, ['b'])
})

test('a node that follows a peer gets evacuations from its change log and from its view', t => {
  const [source, follower, newcomer] = [startedWith(), startedWith(), createPublishedState()]
  const log = createChangeLog(4)
  log.restart(at(5))
  source.applyChanges(at(6), [evacuation('a')], 0)
  log.add(at(6), [evacuation('a')])
  follower.applyChanges(at(6), log.since(at(5)) ?? [], 0)
  newcomer.applyAll(source.view(), 0)
  t.deepEqual([follower, newcomer].map(state => zonesAt(state, 0)), [['a'], ['a']])
})

test('evacuations are sent apart from the changes that a node of an earlier release knows, on which it would fail', t => {
  const removal: PublishedChange = { type: 'target-removed', targetId: 't' }
  const sent = toSentChanges([evacuation('a'), removal])
  t.deepEqual(sent, { changes: [removal], evacuations: [evacuation('a')] })
  t.deepEqual(fromSentChanges(sent), [removal, evacuation('a')])
  t.deepEqual(fromSentChanges(toSentChanges([removal])), [removal])
})

test('the announced position is read back, and that of a node without evacuations, or of an earlier release, is before all others', t => {
  const position = at(Number.MAX_SAFE_INTEGER, 3)
  t.regex(toAnnouncedHash(position), /^[0-9a-f]{64}$/)
  t.deepEqual(fromAnnouncedHash(toAnnouncedHash(position)), position)
  t.deepEqual(fromAnnouncedHash(toAnnouncedHash(undefined)), at(0))
  t.is(toAnnouncedHash(undefined), '0'.repeat(64))
})
