/**
 * Guards the published state against replacing a newer configuration by an older
 * one, requests to a target that left the list, the loss of targets whose entries
 * expired while the store was unreachable, and peers that miss changes.
 */
import test from 'ava'
import { buildZoneEntryAnswer, createChangeLog, createPublishedState, RELISTING_GRACE_MS, UNREACHABLE_LOAD_PERCENT, type PublishedConfiguration, type PublishedState, type PublishedStateView, type PublishedTarget, type StorePosition } from '../src/index.js'
import type { MemberUpdate } from '@wisteriavalve/schema'

const configuration = (version: number): PublishedConfiguration => ({
  version,
  restoreCount: 0,
  routes: [],
  services: [{ name: 's', healthPath: '/', connectionsPerTarget: 10 }],
  callerBounds: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})
const target = (id: string, fields: Partial<PublishedTarget> = {}): PublishedTarget =>
  ({ id, service: 's', host: '10.0.0.1', port: 80, zone: 'a', state: 'ready', ...fields })

const at = (revision: number, restoreCount = 0): StorePosition => ({ restoreCount, revision })

const listed = (state: ReturnType<typeof createPublishedState>, nowMs: number) => {
  const set = state.takeChanges(nowMs).targets.get('s')
  return set && { ids: set.targets.map(({ id }) => id), leaving: set.leavingIds }
}

test('an older configuration never replaces a newer one, whatever the revision of the store', t => {
  const state = createPublishedState()
  state.applyAll({ restoreCount: 0, revision: 5, configuration: configuration(7), targets: [] }, 0)
  t.is(state.takeChanges(0).configuration?.version, 7)
  state.applyChanges(at(6), [{ type: 'configuration', configuration: configuration(6) }], 0)
  state.applyAll({ restoreCount: 0, revision: 9, configuration: configuration(3), targets: [] }, 0)
  t.is(state.takeChanges(0).configuration, undefined)
  t.is(state.configuration()?.version, 7)
})

test('a state of an older revision changes nothing', t => {
  const state = createPublishedState()
  state.applyAll({ restoreCount: 0, revision: 10, targets: [target('a')] }, 0)
  state.applyAll({ restoreCount: 0, revision: 9, targets: [] }, 0)
  t.deepEqual(listed(state, 0), { ids: ['a'], leaving: [] })
})

test('a draining or removed target is marked as leaving immediately while the store is reachable', t => {
  const state = createPublishedState()
  state.applyAll({ restoreCount: 0, revision: 1, targets: [target('a'), target('b'), target('c')] }, 0)
  state.applyChanges(at(2), [{ type: 'target', target: target('a', { state: 'draining' }) }, { type: 'target-removed', targetId: 'b' }], 10)
  t.deepEqual(listed(state, 10), { ids: ['a', 'c'], leaving: ['a', 'b'] })
})

test('entries that expire while the store is unreachable are kept for a grace period after it answers again', t => {
  const state = createPublishedState()
  state.applyAll({ restoreCount: 0, revision: 1, targets: [target('a'), target('b')] }, 0)
  state.recordStoreUnreachable()
  state.recordStoreReachable(1000)
  state.applyAll({ restoreCount: 0, revision: 5, targets: [] }, 1000)
  t.deepEqual(listed(state, 1000), { ids: ['a', 'b'], leaving: [] })
  state.applyChanges(at(6), [{ type: 'target', target: target('a') }], 1500)
  t.deepEqual(listed(state, 1500), { ids: ['a', 'b'], leaving: [] })
  t.deepEqual(listed(state, 1000 + RELISTING_GRACE_MS), { ids: ['a'], leaving: ['b'] })
})

test('a target that moved to another service leaves the old one', t => {
  const state = createPublishedState()
  state.applyAll({ restoreCount: 0, revision: 1, targets: [target('a')] }, 0)
  state.takeChanges(0)
  state.applyChanges(at(2), [{ type: 'target', target: target('a', { service: 'other' }) }], 0)
  const { targets } = state.takeChanges(0)
  t.deepEqual(targets.get('s'), { targets: [], leavingIds: [] })
  t.is(targets.get('other')?.targets.length, 1)
})

test('the change log returns each change once and undefined when it does not reach back far enough', t => {
  const log = createChangeLog(2)
  log.restart(at(10))
  log.add(at(11), [{ type: 'target-removed', targetId: 'a' }])
  log.add(at(12), [{ type: 'target-removed', targetId: 'b' }])
  t.is(log.since(at(9)), undefined)
  t.is(log.since(at(10))?.length, 2)
  t.deepEqual(log.since(at(11)), [{ type: 'target-removed', targetId: 'b' }])
  t.deepEqual(log.since(at(12)), [])
  log.add(at(13), [])
  t.is(log.since(at(10)), undefined)
})

test('revisions that the change log already contains are not added again', t => {
  const log = createChangeLog(8)
  log.restart(at(10))
  log.add(at(13), [{ type: 'target-removed', targetId: 'b' }])
  log.add(at(12), [{ type: 'target-removed', targetId: 'a' }])
  t.deepEqual(log.since(at(10)), [{ type: 'target-removed', targetId: 'b' }])
  log.restart(at(20))
  log.add(at(20), [{ type: 'target-removed', targetId: 'a' }])
  t.deepEqual(log.since(at(20)), [])
})

const member = (nodeId: string, zone: string, fields: Partial<MemberUpdate> = {}): MemberUpdate =>
  ({ nodeId, incarnation: 1, state: 'alive', zone, host: nodeId, callerPort: 1, gossipPort: 2, peerPort: 3, ...fields })

test('callers get the alive nodes of their zone, and those of all zones when theirs has too few', t => {
  const hosts = (members: MemberUpdate[], zone?: string) =>
    buildZoneEntryAnswer(members, { zone, addressesMax: 64, lifetimeMs: 1000 }).addresses.map(({ host }) => host)
  const members = [member('a1', 'a'), member('a2', 'a'), member('a3', 'a', { state: 'leaving' }), member('b1', 'b'), member('b2', 'b', { state: 'suspect' })]
  t.deepEqual(hosts(members, 'a'), ['a1', 'a2'])
  t.deepEqual(hosts(members, 'b'), ['a1', 'a2', 'b1'])
  t.deepEqual(hosts([member('a1', 'a', { state: 'leaving' })], 'a'), ['a1'])
})

test('nodes that reach no target are left out of entry answers while most others reach them', t => {
  const hosts = (members: MemberUpdate[]) =>
    buildZoneEntryAnswer(members, { zone: 'a', addressesMax: 64, lifetimeMs: 1000 }).addresses.map(({ host }) => host)
  const cutOff = { loadPercent: UNREACHABLE_LOAD_PERCENT }
  const [a3, b1, b2] = [member('a3', 'a'), member('b1', 'b'), member('b2', 'b')]
  t.deepEqual(hosts([member('a1', 'a', cutOff), member('a2', 'a'), a3, b1]), ['a2', 'a3'])
  t.deepEqual(hosts([member('a1', 'a', cutOff), member('a2', 'a', cutOff), a3, b1, b2]), ['a3', 'b1', 'b2'])
  t.deepEqual(hosts([member('a1', 'a', cutOff), member('a2', 'a', cutOff), a3, b1]), ['a1', 'a2', 'a3'])
  t.deepEqual(hosts([member('a1', 'a', cutOff), member('a2', 'a', cutOff)]), ['a1', 'a2'])
})

const restoredView = (restoreCount: number, revision: number, targets: PublishedTarget[], version?: number): PublishedStateView =>
  ({ restoreCount, revision, targets, ...(version !== undefined && { configuration: { ...configuration(version), restoreCount } }) })

test('the state of a restored store is applied although its revision is lower', t => {
  const state = createPublishedState()
  state.applyAll(restoredView(1, 40, [target('a')], 7), 0)
  state.takeChanges(0)
  state.applyAll(restoredView(2, 30, [target('a'), target('b')], 4), 100)
  t.deepEqual(state.position(), at(30, 2))
  t.deepEqual(listed(state, 100)?.ids, ['a', 'b'])
  t.is(state.configuration()?.version, 7)
  state.applyChanges(at(31, 2), [{ type: 'configuration', configuration: { ...configuration(8), restoreCount: 2 } }], 200)
  t.is(state.takeChanges(200).configuration?.version, 8)
})

test('what comes late from before a restore changes nothing', t => {
  const state = createPublishedState()
  state.applyAll(restoredView(2, 30, [target('a')]), 0)
  state.applyAll(restoredView(1, 99, []), 10)
  state.applyChanges(at(99, 1), [{ type: 'target-removed', targetId: 'a' }], 10)
  state.applyChanges(at(31, 3), [{ type: 'target-removed', targetId: 'a' }], 10)
  t.deepEqual(listed(state, 10), { ids: ['a'], leaving: [] })
  t.deepEqual(state.position(), at(30, 2))
})

test('a version that a restored store gives out again replaces the lost one only if its content differs', t => {
  const state = createPublishedState()
  const changed = { ...configuration(5), services: [{ name: 'other', healthPath: '/', connectionsPerTarget: 1 }] }
  state.applyAll(restoredView(1, 40, [], 5), 0)
  state.takeChanges(0)
  state.offerConfiguration({ ...configuration(5), restoreCount: 2 })
  t.is(state.takeChanges(0).configuration, undefined)
  state.offerConfiguration({ ...changed, restoreCount: 1 })
  t.is(state.takeChanges(0).configuration, undefined)
  state.offerConfiguration({ ...changed, restoreCount: 3 })
  t.is(state.takeChanges(0).configuration?.services[0]?.name, 'other')
})

test('targets that only the lost part listed are kept until they are listed again, or for the grace period', t => {
  const state = createPublishedState()
  state.applyAll(restoredView(1, 40, [target('a'), target('b'), target('c')]), 0)
  state.applyAll(restoredView(2, 30, [target('a')]), 1_000)
  t.deepEqual(listed(state, 1_000), { ids: ['a', 'b', 'c'], leaving: [] })
  state.applyChanges(at(31, 2), [{ type: 'target', target: target('b') }], 2_000)
  t.deepEqual(listed(state, 1_000 + RELISTING_GRACE_MS), { ids: ['a', 'b'], leaving: ['c'] })
})

for (const [known, change] of [
  ['draining', { type: 'target', target: target('a', { state: 'draining', incarnation: 1 }) }],
  ['removed', { type: 'target-removed', targetId: 'a' }]
] as const) {
  test(`a target known to be ${known} gets nothing when a restored store lists it as ready, until its lease there has run out once`, t => {
    const targetLeaseMs = 4_500
    const state = createPublishedState({ targetLeaseMs })
    const ready = target('a', { incarnation: 1 })
    state.applyAll(restoredView(1, 40, [ready]), 0)
    state.applyChanges(at(41, 1), [change], 10_000)
    state.applyAll(restoredView(2, 30, [ready]), 20_000)
    t.deepEqual(listed(state, 20_000)?.leaving, ['a'])
    state.applyAll(restoredView(2, 33, [ready]), 22_000)
    t.deepEqual(state.view().targets, [ready])
    state.applyChanges(at(34, 2), [{ type: 'target', target: target('b') }], 20_000 + targetLeaseMs)
    t.deepEqual(listed(state, 20_000 + targetLeaseMs)?.leaving, ['a'])
    t.deepEqual(listed(state, 20_000 + targetLeaseMs + RELISTING_GRACE_MS), { ids: ['a', 'b'], leaving: [] })
  })
}

test('a target that has left is used again at once when the restored store gets an entry from it, or lists another start of it', t => {
  for (const apply of [
    (state: PublishedState) => state.applyAll(restoredView(2, 30, [target('a', { incarnation: 2 })]), 20_000),
    (state: PublishedState) => {
      state.applyAll(restoredView(2, 30, [target('a', { incarnation: 1 })]), 20_000)
      state.applyChanges(at(31, 2), [{ type: 'target', target: target('a', { incarnation: 1 }) }], 20_000)
    }
  ]) {
    const state = createPublishedState()
    state.applyAll(restoredView(1, 40, [target('a', { incarnation: 1 })]), 0)
    state.applyChanges(at(41, 1), [{ type: 'target-removed', targetId: 'a' }], 10_000)
    apply(state)
    t.deepEqual(listed(state, 20_000), { ids: ['a'], leaving: [] })
  }
})

test('a listing of a restored store that is removed again is never believed', t => {
  const state = createPublishedState({ targetLeaseMs: 4_500 })
  state.applyAll(restoredView(1, 40, [target('a')]), 0)
  state.applyChanges(at(41, 1), [{ type: 'target-removed', targetId: 'a' }], 10_000)
  state.applyAll(restoredView(2, 30, [target('a')]), 20_000)
  state.applyChanges(at(31, 2), [{ type: 'target-removed', targetId: 'a' }], 24_000)
  t.deepEqual(listed(state, 20_000)?.leaving, ['a'])
  t.is(listed(state, 40_000), undefined)
})

test('peers that ask from before a restore receive the full state', t => {
  const log = createChangeLog(4)
  log.restart(at(40, 1))
  log.add(at(41, 1), [{ type: 'target-removed', targetId: 'a' }])
  log.restart(at(30, 2))
  log.add(at(31, 2), [{ type: 'target-removed', targetId: 'b' }])
  t.is(log.since(at(30, 1)), undefined)
  t.is(log.since(at(41, 1)), undefined)
  t.deepEqual(log.since(at(30, 2)), [{ type: 'target-removed', targetId: 'b' }])
})
