/**
 * Reads the head from the configuration service. A watcher keeps a blocking
 * query open. All other nodes poll the head at a long interval that grows with
 * the fleet, in case all watchers of the zone are cut off from the service.
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

/** Minimum interval between two reads of a watch, in case the service responds without blocking. */
const READ_INTERVAL_MIN_MS = 500
/** Shorter interval after a change, because several changes often follow each other. */
const READ_INTERVAL_AFTER_CHANGE_MS = 100
const START_JITTER_MS = 500
const POLL_INTERVAL_MIN_MS = 60_000
/** Limits the polls of the whole fleet to one every 2 s. */
const POLL_INTERVAL_PER_MEMBER_MS = 2000

/**
 * A configuration must be in force on all nodes within 8 s, including directly
 * after an outage of the service. 5 s leave 3 s for the distribution to the
 * other nodes. With 15 s, the first head after an outage took 8.6 s.
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
      // An index that decreased comes from another replica. A watch at the old index could miss changes.
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
