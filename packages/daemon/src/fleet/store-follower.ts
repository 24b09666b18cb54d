/**
 * Follows the platform's store: reads the whole state once, then waits for
 * changes after the revision read so far, at the store or at a node that does.
 * A read that fails is repeated with a growing delay; history that is lost
 * leads to a new read of the whole state.
 */
import type { Result } from '@wisteriavalve/common'
import type { PublishedChange, PublishedStateView } from '@wisteriavalve/fleet'
import type { DaemonContext } from '../types.js'
import { createBackoff } from './backoff.js'
import { wait } from './wait.js'

export type StoreFault = {
  /** history-lost: the changes after the given revision are not kept any more. */
  kind: 'unreachable' | 'history-lost'
  message: string
}

export type StoreChanges = {
  revision: number
  changes: PublishedChange[]
  /** Given instead of changes when they are not known one by one. */
  view?: PublishedStateView
}

/** Resolves as soon as there is a change, or without one when the time is over. */
export type WatchStore = (afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<Result<StoreChanges, StoreFault>>

/** The platform's store, decoded. Every call is read-only. */
export type DirectoryStore = {
  readAll: (signal: AbortSignal) => Promise<Result<PublishedStateView, StoreFault>>
  watch: WatchStore
  callCount: () => number
  close: () => Promise<void>
}

/** Another node that watches the store. */
export type FollowedPeer = { nodeId: string, watch: WatchStore, noteFailed: (message: string) => void }

export type StoreFollowerOptions = {
  context: DaemonContext
  store: DirectoryStore
  /** Node to follow next; undefined for the store itself. */
  peer: () => FollowedPeer | undefined
  /** @param source the store, or the node that was followed */
  onAll: (view: PublishedStateView, source: string) => void
  onChanges: (changes: StoreChanges, source: string) => void
  onAway: () => void
  onReturned: () => void
}

export type StoreFollower = {
  start: () => void
  isAway: () => boolean
  /** Time since the store last answered this node or the one it follows; Infinity before the first answer. */
  ageMs: () => number
  /** Whether the store itself answered this node a short time ago, so that others may follow it. */
  isDirect: () => boolean
  stop: () => void
}

/**
 * A watch whose answer is lost hears nothing until it ends, and a change must
 * be in force within 2 s everywhere, so a watch must be over before.
 */
const WATCH_MS = 1_200
/** Nodes that wait at a peer change over to the next one as often, so that one that is cut off delays little. */
const PEER_WATCH_MS = 700
/** A node that heard from the store within this time may be followed. */
const DIRECT_AGE_MAX_MS = 1_900
/** Changes that come together are read by one call. */
const CHANGE_SPACING_MS = 200
/** After a start the other nodes become known within this time, and most nodes then follow one of them. */
const MEMBERS_WAIT_MS = 500
const BACKOFF_FIRST_MS = 150
const BACKOFF_MAX_MS = 1_200
const START_JITTER_MS = 50
/** Name of the store where the source of a change is told. */
const STORE = 'store'

export const createStoreFollower = ({ context, store, peer, onAll, onChanges, onAway, onReturned }: StoreFollowerOptions): StoreFollower => {
  const { clock, random, log } = context
  const backoff = createBackoff({ firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS, random })
  const stopped = new AbortController()
  let revision: number | undefined
  let answeredMs = -Infinity
  let directMs = -Infinity
  let isAway = true
  let isFirst = true

  const noteAnswered = (): void => {
    answeredMs = clock.nowMs()
    backoff.reset()
    if (!isAway) return
    isAway = false
    log('store_reachable', { revision: revision ?? 0 })
    onReturned()
  }

  const noteFailed = (message: string): void => {
    if (isAway && !isFirst) return
    isAway = true
    isFirst = false
    log('store_unreachable', { message, revision: revision ?? 0, age_ms: Number.isFinite(answeredMs) ? Math.round(clock.nowMs() - answeredMs) : -1 })
    onAway()
  }

  const readAll = async (): Promise<number> => {
    const read = await store.readAll(stopped.signal)
    if (stopped.signal.aborted) return 0
    if (!read.ok) {
      noteFailed(read.error.message)
      return backoff.next()
    }
    const isFirstRead = directMs === -Infinity
    revision = read.value.revision
    directMs = clock.nowMs()
    noteAnswered()
    onAll(read.value, STORE)
    return isFirstRead ? MEMBERS_WAIT_MS : 0
  }

  /** @returns whether there was a change */
  const take = ({ view, ...changes }: StoreChanges, afterRevision: number, source: string): boolean => {
    revision = Math.max(afterRevision, changes.revision)
    noteAnswered()
    if (view) onAll(view, source)
    else if (changes.changes.length > 0) onChanges(changes, source)
    return changes.changes.length > 0
  }

  const watchPeer = async (afterRevision: number, followed: FollowedPeer): Promise<number> => {
    const read = await followed.watch(afterRevision, PEER_WATCH_MS, stopped.signal)
    if (stopped.signal.aborted) return 0
    if (read.ok) take(read.value, afterRevision, followed.nodeId)
    else followed.noteFailed(read.error.message)
    return 0
  }

  const watch = async (afterRevision: number): Promise<number> => {
    const read = await store.watch(afterRevision, WATCH_MS, stopped.signal)
    if (stopped.signal.aborted) return 0
    if (read.ok) {
      directMs = clock.nowMs()
      return take(read.value, afterRevision, STORE) ? CHANGE_SPACING_MS : 0
    }
    if (read.error.kind === 'history-lost') {
      log('store_read_again', { revision: afterRevision, message: read.error.message })
      revision = undefined
      return 0
    }
    noteFailed(read.error.message)
    return backoff.next()
  }

  const run = async (): Promise<void> => {
    await wait(clock, random.next() * START_JITTER_MS, stopped.signal)
    while (!stopped.signal.aborted) {
      const followed = revision === undefined ? undefined : peer()
      const delayMs = revision === undefined ? await readAll() : followed ? await watchPeer(revision, followed) : await watch(revision)
      if (delayMs > 0) await wait(clock, delayMs, stopped.signal)
    }
  }

  return {
    start: () => { run().catch(error => { setImmediate(() => { throw error }) }) },
    isAway: () => isAway,
    ageMs: () => clock.nowMs() - answeredMs,
    isDirect: () => !isAway && clock.nowMs() - directMs <= DIRECT_AGE_MAX_MS,
    stop: () => stopped.abort()
  }
}
