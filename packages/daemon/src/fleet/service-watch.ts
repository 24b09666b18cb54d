/**
 * Reads of the head on the configuration service. A watcher keeps a blocking
 * query open; every other node reads the head rarely, at a rate that shrinks
 * as the fleet grows, in case all watchers of its zone are cut off from the
 * service.
 */
import type { Clock, Random, Result } from '@wisteriavalve/common'
import type { ConfigurationService, HeadRead } from '../adapters/configuration-service.js'
import { createBackoff } from './backoff.js'
import type { ReadLimiter } from './read-limiter.js'
import { wait } from './wait.js'

export type ServiceWatchOptions = {
  clock: Clock
  random: Random
  service: ConfigurationService
  readLimiter: ReadLimiter
  memberCount: () => number
  onRead: (read: Result<HeadRead, string>) => void
}

export type ServiceWatch = {
  start: () => void
  setWatching: (isWatching: boolean) => void
  stop: () => void
}

/** Least time between two answers of a watch, in case the service does not hold it back. */
const READ_INTERVAL_MIN_MS = 500
/** A change restarts the watch sooner, so that several changes in a row arrive quickly. */
const READ_INTERVAL_AFTER_CHANGE_MS = 100
const START_JITTER_MS = 500
const POLL_INTERVAL_MIN_MS = 60_000
/** All nodes together poll at most every 2 s. */
const POLL_INTERVAL_PER_MEMBER_MS = 2000

/**
 * A configuration has to be in force everywhere within 8 s, also when the
 * service has just come back; 3 s are left for the way to the other nodes.
 * At 15 s the first head after an outage took 8.6 s.
 */
const BACKOFF_MAX_MS = 5000

export const createServiceWatch = (options: ServiceWatchOptions): ServiceWatch => {
  const { clock, random, service, readLimiter } = options
  const backoff = createBackoff({ firstMs: 500, maxMs: BACKOFF_MAX_MS, random })
  const stopController = new AbortController()
  let roleController = new AbortController()
  let isWatching = false
  let isStarted = false

  const jittered = (ms: number): number => ms * (0.8 + 0.4 * random.next())

  const readOnce = async (index: number, signal: AbortSignal): Promise<Result<HeadRead, string> | undefined> => {
    await readLimiter.acquire(signal)
    if (signal.aborted) return undefined
    const read = await service.readHead(index, signal)
    if (signal.aborted) return undefined
    options.onRead(read)
    if (read.ok) backoff.reset()
    return read
  }

  const watch = async (signal: AbortSignal): Promise<void> => {
    let index = 0
    let revision: number | undefined
    await wait(clock, random.next() * START_JITTER_MS, signal)
    while (!signal.aborted) {
      const read = await readOnce(index, signal)
      if (!read) return
      if (!read.ok) {
        index = 0
        await wait(clock, backoff.next(), signal)
        continue
      }
      // An index that went back belongs to another copy of the data; waiting on the old one could miss changes.
      index = read.value.index < index ? 0 : read.value.index
      const hasChanged = read.value.head?.revision !== revision
      revision = read.value.head?.revision
      await wait(clock, jittered(hasChanged ? READ_INTERVAL_AFTER_CHANGE_MS : READ_INTERVAL_MIN_MS), signal)
    }
  }

  const poll = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await wait(clock, jittered(Math.max(POLL_INTERVAL_MIN_MS, POLL_INTERVAL_PER_MEMBER_MS * options.memberCount())), signal)
      if (!signal.aborted) await readOnce(0, signal)
    }
  }

  const start = (): void => {
    isStarted = true
    roleController = new AbortController()
    const signal = AbortSignal.any([roleController.signal, stopController.signal])
    if (isWatching) watch(signal)
    else poll(signal)
  }

  return {
    start,
    setWatching: next => {
      if (next === isWatching) return
      isWatching = next
      roleController.abort()
      if (isStarted && !stopController.signal.aborted) start()
    },
    stop: () => stopController.abort()
  }
}
