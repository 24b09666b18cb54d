/**
 * Guards against redundant calls to the store, whose data a peer provides too:
 * when a whole fleet starts and each node watches the store before it has
 * discovered its peers, and when the store is down. Also guards against
 * following a node whose data is old, and against mixing what the store says
 * before and after it was restored from an older copy.
 */
import { createManualClock, createRandom } from '@wisteriavalve/common'
import type { StorePosition } from '@wisteriavalve/fleet'
import test from 'ava'
import { createStoreFollower, type PlatformStore, type FollowedPeer, type StoreFollowerOptions } from '../src/fleet/store-follower.js'
import type { DaemonContext } from '../src/types.js'

const nextEventLoopTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

const startFollower = (source: StoreFollowerOptions['source'], clock = createManualClock()) => {
  const calls: string[] = []
  const store: PlatformStore = {
    readSnapshot: async () => {
      calls.push('read')
      return { ok: true, value: { restoreCount: 0, revision: 5, targets: [] } }
    },
    watch: () => {
      calls.push('watch')
      return new Promise(() => {})
    },
    callCount: () => calls.length,
    close: async () => {}
  }
  const context = { clock, random: createRandom(1), log: () => {} } as unknown as DaemonContext
  const follower = createStoreFollower({ context, store, source, knownPosition: () => ({ restoreCount: 0, revision: 0 }), onSnapshot: () => {}, onChanges: () => {}, onStoreFailed: () => {}, onDisconnected: () => {}, onReconnected: () => {} })
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

test('the age of the news before a change leaves out the response that brings it', async t => {
  let nowMs = 1_000
  // Like the system clock, it never shows the same time twice.
  const clock = { nowMs: () => (nowMs += 0.001), after: (delayMs: number, run: () => void) => clockOfTimers.after(delayMs, run) }
  const clockOfTimers = createManualClock()
  const ages: number[] = []
  let respond = (_value: unknown): void => {}
  const store: PlatformStore = {
    readSnapshot: async () => ({ ok: true, value: { restoreCount: 0, revision: 5, targets: [] } }),
    watch: () => new Promise(resolve => { respond = value => resolve(value as Awaited<ReturnType<PlatformStore['watch']>>) }),
    callCount: () => 0,
    close: async () => {}
  }
  const context = { clock, random: createRandom(1), log: () => {} } as unknown as DaemonContext
  const follower = createStoreFollower({
    context,
    store,
    source: () => 'store',
    knownPosition: () => ({ restoreCount: 0, revision: 0 }),
    onSnapshot: () => {},
    onChanges: () => { ages.push(follower.ageBeforeResponseMs()) },
    onStoreFailed: () => {},
    onDisconnected: () => {},
    onReconnected: () => {}
  })
  follower.start()
  for (let step = 0; step < 100; step++) {
    clockOfTimers.advance(10)
    await nextEventLoopTurn()
  }
  nowMs += 700
  respond({ ok: true, value: { restoreCount: 0, revision: 6, changes: [{ type: 'target-removed', targetId: 'a' }] } })
  await nextEventLoopTurn()
  t.is(Math.round(ages[0] as number), 700)
  t.is(Math.round(follower.ageBeforeResponseMs()), 0)
  follower.stop()
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
    clock.after(100, () => resolve({ ok: true, value: { restoreCount: 0, revision: 5, changes: [], ageMs: clock.nowMs() - start } }))
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

type RestoredStoreOptions = {
  snapshots: StorePosition[]
  watched: StorePosition
  known: StorePosition
}

/** A store whose snapshots have the given positions in turn, and whose watches respond once, after 100 ms. */
const startRestoredFollower = ({ snapshots, watched, known }: RestoredStoreOptions) => {
  const clock = createManualClock()
  const watchedFrom: StorePosition[] = []
  const applied: StorePosition[] = []
  const events: string[] = []
  let snapshotCount = 0
  const store: PlatformStore = {
    readSnapshot: async () => ({ ok: true, value: { ...snapshots[Math.min(snapshotCount++, snapshots.length - 1)] as StorePosition, targets: [] } }),
    watch: after => {
      watchedFrom.push(after)
      return new Promise(resolve => {
        if (watchedFrom.length === 1) clock.after(100, () => resolve({ ok: true, value: { ...watched, changes: [{ type: 'target-removed', targetId: 'a' }] } }))
      })
    },
    callCount: () => 0,
    close: async () => {}
  }
  const context = { clock, random: createRandom(1), log: (event: string) => events.push(event) } as unknown as DaemonContext
  const follower = createStoreFollower({
    context,
    store,
    source: () => 'store',
    knownPosition: () => known,
    onSnapshot: ({ restoreCount, revision }) => applied.push({ restoreCount, revision }),
    onChanges: ({ restoreCount, revision }) => applied.push({ restoreCount, revision }),
    onStoreFailed: () => {},
    onDisconnected: () => {},
    onReconnected: () => {}
  })
  follower.start()
  const advance = async (durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      clock.advance(10)
      await nextEventLoopTurn()
    }
  }
  return { applied, watchedFrom, events, advance, stop: follower.stop }
}

test('a watch that shows that the store was restored is followed by a read of the whole state, and its changes are dropped', async t => {
  const before = { restoreCount: 1, revision: 40 }
  const restored = { restoreCount: 2, revision: 42 }
  const { applied, watchedFrom, events, advance, stop } = startRestoredFollower({ snapshots: [before, restored], watched: restored, known: before })
  await advance(1_000)
  t.deepEqual(applied, [before, restored])
  t.deepEqual(watchedFrom, [before, restored])
  t.true(events.includes('store_read_again'))
  stop()
})

test('what the store answered before a restore that a peer has told of is not used', async t => {
  const before = { restoreCount: 1, revision: 40 }
  const restored = { restoreCount: 2, revision: 30 }
  const { applied, advance, stop } = startRestoredFollower({ snapshots: [before, restored], watched: { restoreCount: 1, revision: 44 }, known: restored })
  await advance(2_000)
  t.deepEqual(applied, [restored])
  stop()
})
