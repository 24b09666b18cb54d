/**
 * Guards against a node that takes the failure of one target for the loss of all,
 * that does not notice the loss, or that hands its requests to a peer which is cut
 * off as well.
 */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { createReachability, createTargetTable, selectPeer, type Reachability } from '../src/index.js'

const fail = (reachability: Reachability, targetIds: readonly string[], fromMs: number, stepMs: number): void => {
  targetIds.forEach((targetId, index) => reachability.recordFailure(targetId, fromMs + index * stepMs))
}

test('a series of failures at several targets without a success is the loss of the targets, and a success ends it', t => {
  const reachability = createReachability(() => 12)
  fail(reachability, ['a', 'b', 'c', 'a', 'b'], 1_000, 60)
  t.true(reachability.isLost(1_250))
  reachability.recordSuccess()
  t.false(reachability.isLost(1_250))
})

test('one target that fails, a success between failures, and failures within a moment are no loss', t => {
  const one = createReachability(() => 12)
  fail(one, ['a', 'a', 'a', 'a', 'a', 'a'], 1_000, 100)
  t.false(one.isLost(1_600))
  const mixed = createReachability(() => 12)
  for (let nowMs = 1_000; nowMs < 3_000; nowMs += 100) {
    fail(mixed, ['a', 'b', 'c'], nowMs, 20)
    mixed.recordSuccess()
    t.false(mixed.isLost(nowMs + 60))
  }
  const burst = createReachability(() => 12)
  fail(burst, ['a', 'b', 'c', 'd', 'e'], 1_000, 1)
  t.false(burst.isLost(1_005))
})

test('the loss of the only target is noticed', t => {
  const reachability = createReachability(() => 1)
  fail(reachability, ['a', 'a', 'a', 'a'], 1_000, 100)
  t.true(reachability.isLost(1_300))
})

test('failures of long ago do not count together with new ones', t => {
  const reachability = createReachability(() => 12)
  fail(reachability, ['a', 'b', 'c'], 1_000, 100)
  fail(reachability, ['a', 'b'], 60_000, 50)
  t.false(reachability.isLost(60_300))
})

test('a failure of seconds ago and a few within a moment are no loss', t => {
  const reachability = createReachability(() => 12)
  fail(reachability, ['a'], 1_000, 0)
  fail(reachability, ['b', 'c', 'd'], 5_400, 5)
  t.false(reachability.isLost(5_420))
  fail(reachability, ['a', 'b', 'c'], 5_500, 100)
  t.true(reachability.isLost(5_700))
})

test('the loss is noticed by a node that tries a target every two seconds only', t => {
  const reachability = createReachability(() => 12)
  for (let nowMs = 1_000; nowMs <= 5_000; nowMs += 2_000) fail(reachability, ['a', 'b'], nowMs, 150)
  t.true(reachability.isLost(5_150))
})

test('targets that are late while connections to them open are not lost, but those that were lost stay so until one answers', t => {
  const reachability = createReachability(() => 12)
  for (let nowMs = 1_000; nowMs < 3_000; nowMs += 100) {
    fail(reachability, ['a', 'b'], nowMs, 30)
    reachability.recordContact(nowMs + 50)
    t.false(reachability.isLost(nowMs + 60))
  }
  fail(reachability, ['a', 'b', 'c', 'd'], 3_000, 100)
  reachability.recordContact(3_300)
  t.true(reachability.isLost(3_300))
  reachability.recordSuccess()
  t.false(reachability.isLost(3_300))
})

test('a target is tried at most once in 250 ms while all are lost', t => {
  const reachability = createReachability(() => 12)
  const trials = Array.from({ length: 1_000 }, (_, nowMs) => reachability.takeTrial(nowMs)).filter(Boolean).length
  t.is(trials, 4)
})

const PEERS = ['a1', 'a2', 'b1', 'b2'].map(id => ({ id, host: '127.0.0.1', port: 1, zone: id[0] as string }))

test('a peer of the own zone is selected, and one of another zone after a peer of the own zone has refused', t => {
  const table = createTargetTable({ service: 'peers', slotsPerTarget: 64, connectionShare: 64 })
  table.setTargets(PEERS, 0)
  const random = createRandom(1)
  const selectedZones = (nowMs: number, exclude: string[] = []): Set<string> =>
    new Set(Array.from({ length: 50 }, () => selectPeer(table.routing(nowMs).candidates, { zone: 'a', exclude: new Set(exclude), isCutOff: () => false }, nowMs, random)?.target.zone ?? 'none'))
  t.deepEqual(selectedZones(10), new Set(['a']))
  table.recordPause('a1', 1_000, 20)
  t.deepEqual(selectedZones(30), new Set(['b']))
  t.deepEqual(selectedZones(30, ['b1', 'b2']), new Set(['a']))
  t.deepEqual(selectedZones(30, ['a2', 'b1', 'b2']), new Set(['none']))
  t.deepEqual(selectedZones(1_030), new Set(['a']))
})

const RELAYS_MAX = 3

for (const cutOffShare of [0.3, 0.6, 0.9]) {
  test(`of 200 nodes, those that are cut off, a share of ${cutOffShare}, find a peer that reaches the targets`, t => {
    const table = createTargetTable({ service: 'peers', slotsPerTarget: 64, connectionShare: 64 })
    const peers = Array.from({ length: 199 }, (_, index) => ({ id: `p${index}`, host: '127.0.0.1', port: 1, zone: ['a', 'b', 'c'][index % 3] as string }))
    table.setTargets(peers, 0)
    const random = createRandom(1)
    const cutOffIds = new Set(peers.filter(() => random.next() < cutOffShare).map(({ id }) => id))
    const findsPeer = (): boolean => {
      const tried = new Set<string>()
      while (tried.size < RELAYS_MAX) {
        const peer = selectPeer(table.routing(1).candidates, { zone: 'a', exclude: tried, isCutOff: id => cutOffIds.has(id) }, 1, random)
        if (!peer) return false
        if (!cutOffIds.has(peer.target.id)) return true
        tried.add(peer.target.id)
      }
      return false
    }
    t.is(Array.from({ length: 1_000 }, findsPeer).filter(Boolean).length, 1_000)
  })
}

test('few peers of a zone that reach the targets share the requests of its nodes that are cut off with those of other zones', t => {
  const table = createTargetTable({ service: 'peers', slotsPerTarget: 64, connectionShare: 64 })
  const zonePeers = Array.from({ length: 9 }, (_, index) => ({ id: `a${index}`, host: '127.0.0.1', port: 1, zone: 'a' }))
  table.setTargets([...zonePeers, ...PEERS.filter(({ zone }) => zone === 'b')], 0)
  const random = createRandom(1)
  const nearShare = (reachingCount: number): number => {
    const isCutOff = (id: string): boolean => id.startsWith('a') && Number(id.slice(1)) >= reachingCount
    const zones = Array.from({ length: 2_000 }, () => selectPeer(table.routing(1).candidates, { zone: 'a', exclude: new Set(), isCutOff }, 1, random)?.target.zone)
    return zones.filter(zone => zone === 'a').length / zones.length
  }
  t.is(nearShare(0), 0)
  t.true(Math.abs(nearShare(2) - 2 / 4) < 0.05)
  t.is(nearShare(5), 1)
  t.is(nearShare(9), 1)
})

test('a service that is down everywhere, or a zone of targets, is no loss while other targets answer', t => {
  const down = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']
  const reachability = createReachability(() => 12)
  for (let nowMs = 1_000; nowMs < 10_000; nowMs += 200) {
    fail(reachability, down, nowMs, 20)
    reachability.recordSuccess()
    t.false(reachability.isLost(nowMs + 199))
  }
})
