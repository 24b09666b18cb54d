/**
 * Checks the sources that the nodes of whole fleets choose. Guards against store
 * calls that grow with the size of the fleet, both normally and while the store
 * does not answer, and against a zone that receives changes over one path only.
 */
import { createRandom } from '@wisteriavalve/common'
import test from 'ava'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { chooseStoreSource, type StoreSource } from '../src/store-sources.js'

const fleetOf = (zones: string[], nodesPerZone: number): MemberUpdate[] =>
  zones.flatMap(zone => Array.from({ length: nodesPerZone }, (_, index) => ({ nodeId: `${zone}-${index}`, zone, state: 'alive' } as MemberUpdate)))

const random = createRandom(1)
/** Rounds of a node without a source, 300 ms each, for which a failed call to the store keeps it from reading the store in place of a watcher. */
const FAILED_STORE_ROUNDS = 6

const sourceOf = (
  { nodeId, zone }: MemberUpdate, members: MemberUpdate[], turn = 0, isTrusted = (_nodeId: string): boolean => true, isStoreEligible = true
): StoreSource => chooseStoreSource({ view: { selfId: nodeId, zone, members }, isEligible: isTrusted, isStoreEligible, turn, random })

/** Sources of a node in two consecutive turns. */
const turns = (member: MemberUpdate, members: MemberUpdate[]): string[] => [0, 1].map(turn => {
  const source = sourceOf(member, members, turn)
  return source.type === 'peer' ? source.nodeId : source.type
})

const zoneOf = (nodeId: string): string => nodeId.slice(0, 1)

test('one node of each zone calls the store, whatever the size of the fleet', t => {
  for (const nodesPerZone of [1, 2, 7, 60]) {
    const members = fleetOf(['a', 'b', 'c'], nodesPerZone)
    const callers = members.filter(member => sourceOf(member, members).type === 'store')
    t.deepEqual(callers.map(({ zone }) => zone), ['a', 'b', 'c'])
  }
})

test('a zone receives changes from its own watcher and, through its relay, from the watchers of other zones', t => {
  const members = fleetOf(['a', 'b', 'c'], 7)
  const watchers = members.filter(member => sourceOf(member, members).type === 'store').map(({ nodeId }) => nodeId)
  const others = members.filter(({ nodeId }) => !watchers.includes(nodeId))
  const relays = others.filter(member => turns(member, members).every(nodeId => zoneOf(nodeId) !== member.zone))
  t.deepEqual(relays.map(({ zone }) => zone), ['a', 'b', 'c'])
  for (const relay of relays) t.true(turns(relay, members).every(nodeId => watchers.includes(nodeId)))
  for (const member of others.filter(node => !relays.includes(node))) {
    const expected = [...watchers, ...relays.map(({ nodeId }) => nodeId)].filter(nodeId => zoneOf(nodeId) === member.zone)
    t.deepEqual(turns(member, members).sort(), expected.sort())
  }
})

test('each node has few followers, and a change needs few hops, in a zone of any size', t => {
  for (const [nodesPerZone, hopsMax] of [[54, 4], [200, 5]] as const) {
    const members = fleetOf(['a', 'b', 'c', 'd'], nodesPerZone)
    const byId = new Map(members.map(member => [member.nodeId, member]))
    const followerCounts = new Map<string, number>()
    const hopsOf = (member: MemberUpdate): number => {
      const source = sourceOf(member, members)
      return source.type === 'peer' ? 1 + hopsOf(byId.get(source.nodeId) as MemberUpdate) : 0
    }
    for (const member of members) {
      for (const nodeId of new Set(turns(member, members))) followerCounts.set(nodeId, (followerCounts.get(nodeId) ?? 0) + 1)
      if (Number(member.nodeId.slice(2)) % 9 === 0) t.true(hopsOf(member) <= hopsMax, `${member.nodeId} of ${nodesPerZone} a zone: ${hopsOf(member)} hops`)
    }
    followerCounts.delete('store')
    t.true(Math.max(...followerCounts.values()) <= 8 + 3)
  }
})

test('in a fleet of one zone the second node also calls the store', t => {
  const members = fleetOf(['a'], 9)
  t.is(members.filter(member => sourceOf(member, members).type === 'store').length, 2)
})

test('while no peer is eligible, few nodes call the store at a time, and most of them do so eventually', t => {
  const members = fleetOf(['a', 'b', 'c'], 54)
  const rounds = 100
  const callsById = new Map<string, number>()
  const lastCallRounds = new Map<string, number>()
  for (let round = 0; round < rounds; round++) {
    for (const member of members) {
      const isStoreEligible = round - (lastCallRounds.get(member.nodeId) ?? -Infinity) > FAILED_STORE_ROUNDS
      if (sourceOf(member, members, round, () => false, isStoreEligible).type !== 'store') continue
      callsById.set(member.nodeId, (callsById.get(member.nodeId) ?? 0) + 1)
      lastCallRounds.set(member.nodeId, round)
    }
  }
  const calls = [...callsById.values()].reduce((sum, count) => sum + count, 0)
  t.true(calls / rounds < 3 * 4, `${calls / rounds} calls in a round of ${members.length} nodes`)
  t.true(callsById.size > 0.5 * members.length)
})

test('two nodes of a zone read the store as soon as its watcher has lost it, and only while it answers them', t => {
  const members = fleetOf(['a', 'b', 'c'], 54)
  const watcher = members.find(member => member.zone === 'a' && sourceOf(member, members).type === 'store') as MemberUpdate
  const isTrusted = (nodeId: string): boolean => nodeId !== watcher.nodeId
  const readers = (isStoreEligible: boolean): MemberUpdate[] =>
    members.filter(member => member.zone === 'a' && member !== watcher && sourceOf(member, members, 0, isTrusted, isStoreEligible).type === 'store')
  t.is(readers(true).length, 2)
  t.is(readers(false).length, 0)
})

test('a node continues with its remaining source', t => {
  const members = fleetOf(['a', 'b'], 5)
  const follower = members.find(member => {
    const source = sourceOf(member, members)
    return source.type === 'peer' && zoneOf(source.nodeId) === member.zone
  }) as MemberUpdate
  const first = sourceOf(follower, members, 0)
  const left = [0, 1, 2, 3].map(turn => sourceOf(follower, members, turn, nodeId => first.type === 'peer' && nodeId !== first.nodeId))
  t.true(left.every(source => source.type === 'peer' && first.type === 'peer' && source.nodeId !== first.nodeId))
})
