/**
 * Guards against calls to the store that only tell a node what a peer tells it
 * too: a fleet that starts as a whole, where each node waits at the store
 * before it knows the others, and a fleet whose store is down. Guards also
 * against nodes that follow one that has long heard nothing.
 */
import { createManualClock, createRandom } from '@wisteriavalve/common'
import test from 'ava'
import { createStoreFollower, type DirectoryStore, type FollowedPeer, type StoreFollowerOptions } from '../src/fleet/store-follower.js'
import type { DaemonContext } from '../src/types.js'

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

const startFollower = (source: StoreFollowerOptions['source'], clock = createManualClock()) => {
  const calls: string[] = []
  const store: DirectoryStore = {
    readAll: async () => {
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
  const follower = createStoreFollower({ context, store, source, onAll: () => {}, onChanges: () => {}, onAway: () => {}, onReturned: () => {} })
  follower.start()
  const run = async (durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      clock.advance(10)
      await turn()
    }
  }
  return { calls, run, follower, stop: follower.stop }
}

test('a node that meets a peer soon after its start does not wait at the store', async t => {
  const peers: FollowedPeer[] = []
  const peer: FollowedPeer = { nodeId: 'a-2', watch: () => new Promise(() => {}), noteFailed: () => {} }
  const { calls, run, stop } = startFollower(() => peers[0] ?? 'store')
  await run(200)
  peers.push(peer)
  await run(2000)
  t.deepEqual(calls, ['read'])
  stop()
})

test('a node that meets no peer waits at the store within half a second or so', async t => {
  const { calls, run, stop } = startFollower(() => 'store')
  await run(700)
  t.deepEqual(calls, ['read', 'watch'])
  stop()
})

test('a node that has nobody to ask leaves the store alone and counts as cut off from it', async t => {
  const { calls, run, follower, stop } = startFollower(() => 'none')
  await run(3000)
  t.deepEqual(calls, ['read'])
  t.true(follower.isAway())
  stop()
})

test('the age of what a followed node knows is added up, and a node that knows only old things is not followed', async t => {
  const clock = createManualClock()
  const start = clock.nowMs()
  // The followed node last heard from the store when the test began, and answers each 100 ms.
  const watch: FollowedPeer['watch'] = () => new Promise(resolve => {
    clock.after(100, () => resolve({ ok: true, value: { revision: 5, changes: [], ageMs: clock.nowMs() - start } }))
  })
  const { run, follower, stop } = startFollower(() => ({ nodeId: 'a-2', watch, noteFailed: () => {} }), clock)
  await run(2000)
  t.true(follower.canBeFollowed())
  await run(3000)
  t.false(follower.isAway())
  t.true(follower.ageMs() >= 4900, `${follower.ageMs()} ms`)
  t.false(follower.canBeFollowed())
  stop()
})
