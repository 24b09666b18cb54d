/**
 * Guards against redundant calls to the store, whose data a peer provides too:
 * when a whole fleet starts and each node watches the store before it has
 * discovered its peers, and when the store is down. Also guards against
 * following a node whose data is old.
 */
import { createManualClock, createRandom } from '@wisteriavalve/common'
import test from 'ava'
import { createStoreFollower, type PlatformStore, type FollowedPeer, type StoreFollowerOptions } from '../src/fleet/store-follower.js'
import type { DaemonContext } from '../src/types.js'

const nextEventLoopTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

const startFollower = (source: StoreFollowerOptions['source'], clock = createManualClock()) => {
  const calls: string[] = []
  const store: PlatformStore = {
    readSnapshot: async () => {
      calls.push('read')
      return { ok: true, value: { revision: 5, targets: [] } }
    },
    watch: () => {
      calls.push('watch')
      return new Promise(() => {})
    },
    callCount: () => calls.length,
    close: async () => {}
  }
  const context = { clock, random: createRandom(1), log: () => {} } as unknown as DaemonContext
  const follower = createStoreFollower({ context, store, source, onSnapshot: () => {}, onChanges: () => {}, onDisconnected: () => {}, onReconnected: () => {} })
  follower.start()
  const advance = async (durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      clock.advance(10)
      await nextEventLoopTurn()
    }
  }
  return { calls, advance, follower, stop: follower.stop }
}

test('a node that discovers a peer soon after its start does not watch the store', async t => {
  const peers: FollowedPeer[] = []
  const peer: FollowedPeer = { nodeId: 'a-2', watch: () => new Promise(() => {}), reportFailure: () => {} }
  const { calls, advance, stop } = startFollower(() => peers[0] ?? 'store')
  await advance(200)
  peers.push(peer)
  await advance(2000)
  t.deepEqual(calls, ['read'])
  stop()
})

test('a node that discovers no peer watches the store within 700 ms', async t => {
  const { calls, advance, stop } = startFollower(() => 'store')
  await advance(700)
  t.deepEqual(calls, ['read', 'watch'])
  stop()
})

test('a node without a source makes no further calls to the store and counts as disconnected from it', async t => {
  const { calls, advance, follower, stop } = startFollower(() => 'none')
  await advance(3000)
  t.deepEqual(calls, ['read'])
  t.true(follower.isDisconnected())
  stop()
})

test('the age of the data of a followed node is added up, and a node with only old data is not followed', async t => {
  const clock = createManualClock()
  const start = clock.nowMs()
  // The last update of the followed node from the store was at the start of the test. It responds after 100 ms.
  const watch: FollowedPeer['watch'] = () => new Promise(resolve => {
    clock.after(100, () => resolve({ ok: true, value: { revision: 5, changes: [], ageMs: clock.nowMs() - start } }))
  })
  const { advance, follower, stop } = startFollower(() => ({ nodeId: 'a-2', watch, reportFailure: () => {} }), clock)
  await advance(2000)
  t.true(follower.canBeFollowed())
  await advance(3000)
  t.false(follower.isDisconnected())
  t.true(follower.ageMs() >= 4900, `${follower.ageMs()} ms`)
  t.false(follower.canBeFollowed())
  stop()
})

test('a node whose source has failed is followed no longer than 2 s after its last contact with the store', async t => {
  const clock = createManualClock()
  const silentPeer: FollowedPeer = { nodeId: 'a-2', watch: () => new Promise(() => {}), reportFailure: () => {} }
  let hasFailed = false
  const failingPeer: FollowedPeer = {
    nodeId: 'a-1',
    watch: () => new Promise(resolve => { clock.after(700, () => resolve({ ok: false, error: { kind: 'behind', message: '' } })) }),
    reportFailure: () => { hasFailed = true }
  }
  const { advance, follower, stop } = startFollower(() => hasFailed ? silentPeer : failingPeer, clock)
  await advance(1_900)
  t.true(follower.canBeFollowed())
  await advance(200)
  t.false(follower.canBeFollowed())
  t.false(follower.isDisconnected())
  stop()
})
