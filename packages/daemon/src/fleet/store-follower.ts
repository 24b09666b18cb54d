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
  /**
   * history-lost: the changes after the given revision are not kept any more;
   * behind: the node that was asked does not hear from the store.
   */
  kind: 'unreachable' | 'history-lost' | 'behind'
  message: string
}

export type StoreChanges = {
  revision: number
  changes: PublishedChange[]
  /** Given instead of changes when they are not known one by one. */
  view?: PublishedStateView
  /** Time since the store answered the node that was asked; left out by the store itself. */
  ageMs?: number
}

/** Resolves as soon as there is a change, or without one when the time is over. */
export type WatchChanges = (afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<Result<StoreChanges, StoreFault>>

/** The platform's store, decoded. Every call is read-only. */
export type DirectoryStore = {
  readAll: (signal: AbortSignal) => Promise<Result<PublishedStateView, StoreFault>>
  watch: WatchChanges
  callCount: () => number
  close: () => Promise<void>
}

/** Another node that watches the store. */
export type FollowedPeer = { nodeId: string, watch: WatchChanges, noteFailed: (fault: StoreFault) => void }

export type StoreFollowerOptions = {
  context: DaemonContext
  store: DirectoryStore
  /** Whom to ask next: the store, a node, or nobody for now. */
  source: () => 'store' | 'none' | FollowedPeer
  /** @param source the store, or the node that was followed */
  onAll: (view: PublishedStateView, source: string) => void
  onChanges: (changes: StoreChanges, source: string) => void
  onAway: () => void
  onReturned: () => void
}

export type StoreFollower = {
  start: () => void
  isAway: () => boolean
  /** Time since the store last answered, this node or one that it follows; Infinity before the first answer. */
  ageMs: () => number
  /** Whether the store answered a short time ago, so that others may follow this node. */
  canBeFollowed: () => boolean
  stop: () => void
}

/**
 * A watch whose answer is lost hears nothing until it ends, and a change must
 * be in force within 2 s everywhere, so a watch must be over before.
 */
const STORE_WATCH_MS = 1_200
/** Nodes that wait at a peer change over to the next one as often, so that one that is cut off delays little. */
const PEER_WATCH_MS = 700
/** A node that has nobody to ask looks again after this time. */
const NO_SOURCE_RETRY_MS = 300
/** Age up to which a node may be followed: a watch at the store, and a turn at each of four nodes between, end before. */
const FOLLOWABLE_AGE_MAX_MS = 4_500
/** Changes that come together are read by one call. */
const CHANGE_BATCHING_MS = 400
/** After a start the other nodes become known within this time, and most nodes then follow one of them. */
const MEMBER_DISCOVERY_MS = 500
const BACKOFF_FIRST_MS = 150
const BACKOFF_MAX_MS = 1_200
const START_JITTER_MS = 50
/** Name of the store where the source of a change is told. */
const STORE_SOURCE = 'store'

export const createStoreFollower = ({ context, store, source, onAll, onChanges, onAway, onReturned }: StoreFollowerOptions): StoreFollower => {
  const { clock, random, log } = context
  const backoff = createBackoff({ firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS, random })
  const stopController = new AbortController()
  let revision: number | undefined
  let isFirstSnapshot = true
  /** When the store last answered, this node or one that it follows. */
  let lastContactMs = -Infinity
  let isDisconnected = true
  let isFirstFailure = true

  const recordContact = (ageMs: number): void => {
    lastContactMs = Math.max(lastContactMs, clock.nowMs() - ageMs)
    backoff.reset()
    if (!isDisconnected) return
    isDisconnected = false
    log('store_reachable', { revision: revision ?? 0 })
    onReturned()
  }

  const recordFailure = (message: string): void => {
    if (isDisconnected && !isFirstFailure) return
    isDisconnected = true
    isFirstFailure = false
    log('store_unreachable', { message, revision: revision ?? 0, age_ms: Number.isFinite(lastContactMs) ? Math.round(clock.nowMs() - lastContactMs) : -1 })
    onAway()
  }

  const readSnapshot = async (): Promise<number> => {
    const read = await store.readAll(stopController.signal)
    if (stopController.signal.aborted) return 0
    if (!read.ok) {
      recordFailure(read.error.message)
      return backoff.next()
    }
    const delayMs = isFirstSnapshot ? MEMBER_DISCOVERY_MS : 0
    isFirstSnapshot = false
    revision = read.value.revision
    recordContact(0)
    onAll(read.value, STORE_SOURCE)
    return delayMs
  }

  /** @returns whether there was a change */
  const applyRead = ({ view, ageMs = 0, ...changes }: StoreChanges, afterRevision: number, from: string): boolean => {
    revision = Math.max(afterRevision, changes.revision)
    recordContact(ageMs)
    if (view) onAll(view, from)
    else if (changes.changes.length > 0) onChanges(changes, from)
    return changes.changes.length > 0
  }

  const watchPeer = async (afterRevision: number, followed: FollowedPeer): Promise<number> => {
    const read = await followed.watch(afterRevision, PEER_WATCH_MS, stopController.signal)
    if (stopController.signal.aborted) return 0
    if (read.ok) applyRead(read.value, afterRevision, followed.nodeId)
    else followed.noteFailed(read.error)
    return 0
  }

  const watch = async (afterRevision: number): Promise<number> => {
    const read = await store.watch(afterRevision, STORE_WATCH_MS, stopController.signal)
    if (stopController.signal.aborted) return 0
    if (read.ok) return applyRead(read.value, afterRevision, STORE_SOURCE) ? CHANGE_BATCHING_MS : 0
    if (read.error.kind === 'history-lost') {
      log('store_read_again', { revision: afterRevision, message: read.error.message })
      revision = undefined
      return 0
    }
    recordFailure(read.error.message)
    return backoff.next()
  }

  /** @returns time to wait before the next call */
  const readNext = async (): Promise<number> => {
    if (revision === undefined) return readSnapshot()
    const next = source()
    if (next === 'store') return watch(revision)
    if (next !== 'none') return watchPeer(revision, next)
    recordFailure('nobody who could be asked hears from the store')
    return NO_SOURCE_RETRY_MS
  }

  const run = async (): Promise<void> => {
    await wait(clock, random.next() * START_JITTER_MS, stopController.signal)
    while (!stopController.signal.aborted) {
      const delayMs = await readNext()
      if (delayMs > 0) await wait(clock, delayMs, stopController.signal)
    }
  }

  return {
    start: () => { run().catch(error => { setImmediate(() => { throw error }) }) },
    isAway: () => isDisconnected,
    ageMs: () => clock.nowMs() - lastContactMs,
    canBeFollowed: () => !isDisconnected && clock.nowMs() - lastContactMs <= FOLLOWABLE_AGE_MAX_MS,
    stop: () => stopController.abort()
  }
}
