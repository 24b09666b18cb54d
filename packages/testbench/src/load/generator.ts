/**
 * Open-loop load generator. Requests start according to a seeded Poisson
 * process, independent of earlier requests. Latency is measured from the
 * intended start, because a slow system would otherwise slow the load and hide
 * its own delay.
 */
import { createRandom, type Random } from '@wisteriavalve/common'
import { createCaller, type Caller } from './caller.js'
import type { CallOutcome, KindLoad, LoadOptions } from './types.js'

export type LoadRun = {
  done: Promise<CallOutcome[]>
  /** Starts no further requests; those in flight continue. */
  stop: () => void
}

const pickKind = (kinds: readonly KindLoad[], random: Random): KindLoad => {
  const total = kinds.reduce((sum, kind) => sum + kind.share, 0)
  let remainingShare = random.next() * total
  for (const kind of kinds) {
    remainingShare -= kind.share
    if (remainingShare < 0) return kind
  }
  return kinds[kinds.length - 1] as KindLoad
}

const createCallers = (options: LoadOptions): Caller[] =>
  Array.from({ length: options.callerCount }, (_, index) => createCaller({
    localAddress: `127.8.${Math.floor(index / 250)}.${1 + index % 250}`,
    entryAddresses: [...options.entryAddresses.slice(index % options.entryAddresses.length), ...options.entryAddresses.slice(0, index % options.entryAddresses.length)],
    shouldFetchAddresses: options.shouldFetchAddresses ?? true,
    zone: options.zones?.[index % options.zones.length]
  }))

type Arrival = { atMs: number, kind: KindLoad, callerIndex: number, itemNumber: number }

/** All arrivals of a run. Depends only on the options, which include the seed. */
export const planArrivals = (options: LoadOptions): Arrival[] => {
  const random = createRandom(options.seed)
  const arrivals: Arrival[] = []
  let atMs = 0
  while (arrivals.length < options.requestsMax) {
    atMs += -Math.log(1 - random.next()) * 1000 / options.ratePerS
    if (atMs >= options.durationMs) break
    arrivals.push({ atMs, kind: pickKind(options.kinds, random), callerIndex: random.int(options.callerCount), itemNumber: random.int(100_000) })
  }
  return arrivals
}

export const startLoad = (options: LoadOptions): LoadRun => {
  const callers = createCallers(options)
  const arrivals = planArrivals(options)
  const outcomes: Promise<CallOutcome>[] = []
  const startMs = performance.now()
  let isStopped = false
  let next = 0

  const startDueRequests = (finish: () => void): void => {
    const elapsedMs = performance.now() - startMs
    for (let arrival = arrivals[next]; arrival && arrival.atMs <= elapsedMs; arrival = arrivals[++next]) {
      const caller = callers[arrival.callerIndex] as Caller
      const outcome = caller.call(arrival.kind, `${options.idPrefix ?? 'r'}-${options.seed}-${next}`, arrival.itemNumber, startMs + arrival.atMs)
      outcomes.push(options.onOutcome ? outcome.then(ended => { options.onOutcome?.(ended); return ended }) : outcome)
    }
    const upcoming = arrivals[next]
    if (isStopped || !upcoming) finish()
    else setTimeout(startDueRequests, Math.max(0, upcoming.atMs - (performance.now() - startMs)), finish)
  }

  const done = new Promise<void>(resolve => { startDueRequests(resolve) })
    .then(() => Promise.all(outcomes))
    .finally(() => callers.forEach(caller => caller.close()))
  return { done, stop: () => { isStopped = true } }
}
