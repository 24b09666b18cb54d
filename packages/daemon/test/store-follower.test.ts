/**
 * Guards against calls to the store that only tell a node what a peer tells it
 * too: a fleet that starts as a whole, where each node waits at the store
 * before it knows the others.
 */
import { createManualClock, createRandom } from '@wisteriavalve/common'
import test from 'ava'
import { createStoreFollower, type DirectoryStore, type FollowedPeer } from '../src/fleet/store-follower.js'
import type { DaemonContext } from '../src/types.js'

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

const startFollower = (peer: () => FollowedPeer | undefined) => {
  const clock = createManualClock()
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
  const follower = createStoreFollower({ context, store, peer, onAll: () => {}, onChanges: () => {}, onAway: () => {}, onReturned: () => {} })
  follower.start()
  const run = async (durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      clock.advance(10)
      await turn()
    }
  }
  return { calls, run, stop: follower.stop }
}

test('a node that meets a peer soon after its start does not wait at the store', async t => {
  const peers: FollowedPeer[] = []
  const peer: FollowedPeer = { nodeId: 'a-2', watch: () => new Promise(() => {}), noteFailed: () => {} }
  const { calls, run, stop } = startFollower(() => peers[0])
  await run(200)
  peers.push(peer)
  await run(2000)
  t.deepEqual(calls, ['read'])
  stop()
})

test('a node that meets no peer waits at the store within half a second or so', async t => {
  const { calls, run, stop } = startFollower(() => undefined)
  await run(700)
  t.deepEqual(calls, ['read', 'watch'])
  stop()
})
