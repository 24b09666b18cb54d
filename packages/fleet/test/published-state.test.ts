/**
 * Guards the published state against replacing a newer configuration by an older
 * one, requests to a target that left the list, the loss of targets whose entries
 * expired while the store was unreachable, and peers that miss changes.
 */
import test from 'ava'
import { buildZoneEntryAnswer, createChangeLog, createPublishedState, RELISTING_GRACE_MS, UNREACHABLE_LOAD_PERCENT, type PublishedConfiguration, type PublishedTarget } from '../src/index.js'
import type { MemberUpdate } from '@wisteriavalve/schema'

const configuration = (version: number): PublishedConfiguration => ({
  version,
  routes: [],
  services: [{ name: 's', healthPath: '/', connectionsPerTarget: 10 }],
  callerBounds: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})
const target = (id: string, fields: Partial<PublishedTarget> = {}): PublishedTarget =>
  ({ id, service: 's', host: '10.0.0.1', port: 80, zone: 'a', state: 'ready', ...fields })

const listed = (state: ReturnType<typeof createPublishedState>, nowMs: number) => {
  const set = state.takeChanges(nowMs).targets.get('s')
  return set && { ids: set.targets.map(({ id }) => id), leaving: set.leavingIds }
}

test('an older configuration never replaces a newer one, whatever the revision of the store', t => {
  const state = createPublishedState()
  state.applyAll({ revision: 5, configuration: configuration(7), targets: [] }, 0)
  t.is(state.takeChanges(0).configuration?.version, 7)
  state.applyChanges(6, [{ type: 'configuration', configuration: configuration(6) }], 0)
  state.applyAll({ revision: 9, configuration: configuration(3), targets: [] }, 0)
  t.is(state.takeChanges(0).configuration, undefined)
  t.is(state.configuration()?.version, 7)
})

test('a state of an older revision changes nothing', t => {
  const state = createPublishedState()
  state.applyAll({ revision: 10, targets: [target('a')] }, 0)
  state.applyAll({ revision: 9, targets: [] }, 0)
  t.deepEqual(listed(state, 0), { ids: ['a'], leaving: [] })
})

test('a draining or removed target is marked as leaving immediately while the store is reachable', t => {
  const state = createPublishedState()
  state.applyAll({ revision: 1, targets: [target('a'), target('b'), target('c')] }, 0)
  state.applyChanges(2, [{ type: 'target', target: target('a', { state: 'draining' }) }, { type: 'target-removed', targetId: 'b' }], 10)
  t.deepEqual(listed(state, 10), { ids: ['a', 'c'], leaving: ['a', 'b'] })
})

test('entries that expire while the store is unreachable are kept for a grace period after it answers again', t => {
  const state = createPublishedState()
  state.applyAll({ revision: 1, targets: [target('a'), target('b')] }, 0)
  state.recordStoreUnreachable()
  state.recordStoreReachable(1000)
  state.applyAll({ revision: 5, targets: [] }, 1000)
  t.deepEqual(listed(state, 1000), { ids: ['a', 'b'], leaving: [] })
  state.applyChanges(6, [{ type: 'target', target: target('a') }], 1500)
  t.deepEqual(listed(state, 1500), { ids: ['a', 'b'], leaving: [] })
  t.deepEqual(listed(state, 1000 + RELISTING_GRACE_MS), { ids: ['a'], leaving: ['b'] })
})

test('a target that moved to another service leaves the old one', t => {
  const state = createPublishedState()
  state.applyAll({ revision: 1, targets: [target('a')] }, 0)
  state.takeChanges(0)
  state.applyChanges(2, [{ type: 'target', target: target('a', { service: 'other' }) }], 0)
  const { targets } = state.takeChanges(0)
  t.deepEqual(targets.get('s'), { targets: [], leavingIds: [] })
  t.is(targets.get('other')?.targets.length, 1)
})

test('the change log returns each change once and undefined when it does not reach back far enough', t => {
  const log = createChangeLog(2)
  log.restart(10)
  log.add(11, [{ type: 'target-removed', targetId: 'a' }])
  log.add(12, [{ type: 'target-removed', targetId: 'b' }])
  t.is(log.since(9), undefined)
  t.is(log.since(10)?.length, 2)
  t.deepEqual(log.since(11), [{ type: 'target-removed', targetId: 'b' }])
  t.deepEqual(log.since(12), [])
  log.add(13, [])
  t.is(log.since(10), undefined)
})

test('revisions that the change log already contains are not added again', t => {
  const log = createChangeLog(8)
  log.restart(10)
  log.add(13, [{ type: 'target-removed', targetId: 'b' }])
  log.add(12, [{ type: 'target-removed', targetId: 'a' }])
  t.deepEqual(log.since(10), [{ type: 'target-removed', targetId: 'b' }])
  log.restart(20)
  log.add(20, [{ type: 'target-removed', targetId: 'a' }])
  t.deepEqual(log.since(20), [])
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
