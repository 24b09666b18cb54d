/**
 * Follows the platform's store: reads the whole state once and then watches for
 * changes after the latest revision, at the store or at a peer that follows it.
 * Failed reads of the store are retried with backoff. When the store no longer
 * has the changes after the latest revision, or was restored from an older copy,
 * the whole state is read again.
 */
import type { Result } from '@wisteriavalve/common'
import { laterStorePosition, NO_STORE_POSITION, type PublishedChange, type PublishedStateView, type StorePosition } from '@wisteriavalve/fleet'
import type { DaemonContext } from '../types.js'
import { createBackoff } from './backoff.js'
import { wait } from './wait.js'

export type StoreError = {
  /**
   * history-lost: the changes after the given revision are no longer kept.
   * behind: the queried peer has no recent contact with the store.
   */
  kind: 'unreachable' | 'history-lost' | 'behind'
  message: string
}

export type StoreChanges = StorePosition & {
  changes: PublishedChange[]
  /** The whole state, given when the single changes are not available. */
  view?: PublishedStateView
  /** Time since the last contact of the queried peer with the store; absent in reads of the store itself. */
  ageMs?: number
}

/** Resolves at the next change, or without changes after waitMs. */
export type WatchChanges = (after: StorePosition, waitMs: number, signal: AbortSignal) => Promise<Result<StoreChanges, StoreError>>

/** Read-only client of the platform's store that returns decoded state. */
export type PlatformStore = {
  readSnapshot: (signal: AbortSignal) => Promise<Result<PublishedStateView, StoreError>>
  watch: WatchChanges
  callCount: () => number
  close: () => Promise<void>
}

/** A peer that this node watches instead of the store. */
export type FollowedPeer = { nodeId: string, watch: WatchChanges, reportFailure: (error: StoreError) => void }

export type StoreFollowerOptions = {
  context: DaemonContext
  store: PlatformStore
  /** Source of the next read: the store, a peer, or none for now. */
  source: () => 'store' | 'none' | FollowedPeer
  /** Latest position of the store that this node knows, from any source. */
  knownPosition: () => StorePosition
  /** @param source 'store', or the id of the peer that was read */
  onSnapshot: (view: PublishedStateView, source: string) => void
  onChanges: (changes: StoreChanges, source: string) => void
  /** Called when a call to the store has failed. */
  onStoreFailed: () => void
  onDisconnected: () => void
  onReconnected: () => void
}

export type StoreFollower = {
  start: () => void
  isDisconnected: () => boolean
  /** Time since the last response of the store, to this node or through a peer; Infinity before the first one. */
  ageMs: () => number
  /** The same, but leaves out a response that is being applied. */
  ageBeforeResponseMs: () => number
  /** Whether the last contact with the store is recent enough for peers to follow this node. */
  canBeFollowed: () => boolean
  stop: () => void
}

/**
 * Wait of one watch at the store. When its response is lost, no change arrives
 * until the watch ends. It must therefore be shorter than the 2 s within which
 * a change must be in force on all nodes.
 */
const STORE_WATCH_MS = 1_000
/** Wait of one watch at a peer, which limits the delay by a peer that is cut off: the next watch uses another peer. */
const PEER_WATCH_MS = 700
/** Delay before the next attempt when no source is available. */
const NO_SOURCE_RETRY_MS = 300
/** Maximum age at which a node may be followed; covers a watch at the store and one watch at each of four nodes in between. */
const FOLLOWABLE_AGE_MAX_MS = 4_500
/**
 * The same while the source of this node has failed and no other one has answered yet.
 * Its next source can be as silent, and the nodes that follow it would wait with it.
 */
const UNCERTAIN_AGE_MAX_MS = 2_000
/** Delay after a change, which lets one call read all changes that follow shortly. */
const CHANGE_BATCHING_MS = 400
/** Time after the start within which peers are discovered; most nodes then follow a peer instead of the store. */
const MEMBER_DISCOVERY_MS = 500
const BACKOFF_FIRST_MS = 150
const BACKOFF_MAX_MS = 1_200
const START_JITTER_MS = 50
/** Value of the log field `source` for state that was read from the store. */
const STORE_SOURCE = 'store'
const BEFORE_RESTORE_MESSAGE = 'the response is from before the last restore of the store'

const logFields = ({ restoreCount, revision }: StorePosition = NO_STORE_POSITION): { revision: number, restore_count: number } =>
  ({ revision, restore_count: restoreCount })

export const createStoreFollower = ({ context, store, source, knownPosition, onSnapshot, onChanges, onStoreFailed, onDisconnected, onReconnected }: StoreFollowerOptions): StoreFollower => {
  const { clock, random, log } = context
  const backoff = createBackoff({ firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS, random })
  const stopController = new AbortController()
  /** Position from which the next watch starts; undefined when the whole state has to be read. */
  let position: StorePosition | undefined
  let isFirstSnapshot = true
  /** Time of the last response of the store, to this node or through a peer. */
  let lastContactMs = -Infinity
  /** Time of the response before the one that is being applied; undefined between responses. */
  let previousContactMs: number | undefined
  let isDisconnected = true
  let isFirstFailure = true
  /** Whether the last read failed. */
  let isUncertain = false

  const recordContact = (ageMs: number): void => {
    lastContactMs = Math.max(lastContactMs, clock.nowMs() - ageMs)
    isUncertain = false
    backoff.reset()
    if (!isDisconnected) return
    isDisconnected = false
    log('store_reachable', logFields(position))
    onReconnected()
  }

  const applyResponse = (ageMs: number, apply: () => void): void => {
    previousContactMs = lastContactMs
    recordContact(ageMs)
    apply()
    previousContactMs = undefined
  }

  const recordFailure = (message: string): void => {
    if (isDisconnected && !isFirstFailure) return
    isDisconnected = true
    isFirstFailure = false
    log('store_unreachable', { message, ...logFields(position), age_ms: Number.isFinite(lastContactMs) ? Math.round(clock.nowMs() - lastContactMs) : -1 })
    onDisconnected()
  }

  /** @returns delay until the next read */
  const fail = (message: string): number => {
    onStoreFailed()
    recordFailure(message)
    return backoff.next()
  }

  /** Whether the store has answered before its last restore that this node knows of. */
  const isBeforeRestore = ({ restoreCount }: StorePosition): boolean => restoreCount < knownPosition().restoreCount

  const readSnapshot = async (): Promise<number> => {
    const read = await store.readSnapshot(stopController.signal)
    if (stopController.signal.aborted) return 0
    if (!read.ok) return fail(read.error.message)
    if (isBeforeRestore(read.value)) return fail(BEFORE_RESTORE_MESSAGE)
    const delayMs = isFirstSnapshot ? MEMBER_DISCOVERY_MS : 0
    isFirstSnapshot = false
    position = { restoreCount: read.value.restoreCount, revision: read.value.revision }
    applyResponse(0, () => onSnapshot(read.value, STORE_SOURCE))
    return delayMs
  }

  /** @returns whether the read contained changes */
  const applyRead = ({ view, ageMs = 0, ...changes }: StoreChanges, after: StorePosition, from: string): boolean => {
    position = laterStorePosition(after, { restoreCount: changes.restoreCount, revision: changes.revision })
    applyResponse(ageMs, () => {
      if (view) onSnapshot(view, from)
      else if (changes.changes.length > 0) onChanges(changes, from)
    })
    return changes.changes.length > 0
  }

  const watchPeer = async (after: StorePosition, followed: FollowedPeer): Promise<number> => {
    const read = await followed.watch(after, PEER_WATCH_MS, stopController.signal)
    if (stopController.signal.aborted) return 0
    if (read.ok) {
      applyRead(read.value, after, followed.nodeId)
    } else {
      isUncertain = true
      followed.reportFailure(read.error)
    }
    return 0
  }

  const readAllNext = (message: string): number => {
    log('store_read_again', { ...logFields(position), message })
    position = undefined
    return 0
  }

  const watch = async (after: StorePosition): Promise<number> => {
    const read = await store.watch(after, STORE_WATCH_MS, stopController.signal)
    if (stopController.signal.aborted) return 0
    if (!read.ok) return read.error.kind === 'history-lost' ? readAllNext(read.error.message) : fail(read.error.message)
    if (isBeforeRestore(read.value)) return fail(BEFORE_RESTORE_MESSAGE)
    if (read.value.restoreCount !== after.restoreCount) return readAllNext('the store was restored from an older copy')
    return applyRead(read.value, after, STORE_SOURCE) ? CHANGE_BATCHING_MS : 0
  }

  /** @returns delay until the next read */
  const readNext = async (): Promise<number> => {
    if (position === undefined) return readSnapshot()
    const next = source()
    if (next === 'store') return watch(position)
    if (next !== 'none') return watchPeer(position, next)
    recordFailure('no available peer has contact with the store')
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
    isDisconnected: () => isDisconnected,
    ageMs: () => clock.nowMs() - lastContactMs,
    ageBeforeResponseMs: () => clock.nowMs() - (previousContactMs ?? lastContactMs),
    canBeFollowed: () => !isDisconnected && clock.nowMs() - lastContactMs <= (isUncertain ? UNCERTAIN_AGE_MAX_MS : FOLLOWABLE_AGE_MAX_MS),
    stop: () => stopController.abort()
  }
}
