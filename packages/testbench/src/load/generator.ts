/**
 * Open-loop load: requests start by a seeded Poisson process whatever happens
 * to earlier ones, and latency counts from the intended start, so that a slow
 * system cannot hide its delay by slowing the load.
 */
import { createRandom, type Random } from '@wisteriavalve/common'
import { createCaller, type Caller } from './caller.js'
import type { CallOutcome, KindLoad, LoadOptions } from './types.js'

export type LoadRun = {
  done: Promise<CallOutcome[]>
  /** Starts no further requests. */
  stop: () => void
}

const pickKind = (kinds: readonly KindLoad[], random: Random): KindLoad => {
  const total = kinds.reduce((sum, kind) => sum + kind.share, 0)
  let rest = random.next() * total
  for (const kind of kinds) {
    rest -= kind.share
    if (rest < 0) return kind
  }
  return kinds[kinds.length - 1] as KindLoad
}

const createCallers = (options: LoadOptions): Caller[] =>
  Array.from({ length: options.callerCount }, (_, index) => createCaller({
    localAddress: `127.8.${Math.floor(index / 250)}.${1 + index % 250}`,
    entries: [...options.entries.slice(index % options.entries.length), ...options.entries.slice(0, index % options.entries.length)],
    askEntries: options.askEntries ?? true,
    zone: options.zones?.[index % options.zones.length]
  }))

type Arrival = { atMs: number, kind: KindLoad, caller: number, number: number }

/** All arrivals of a run, from its seed alone. */
export const planArrivals = (options: LoadOptions): Arrival[] => {
  const random = createRandom(options.seed)
  const arrivals: Arrival[] = []
  let atMs = 0
  while (arrivals.length < options.requestsMax) {
    atMs += -Math.log(1 - random.next()) * 1000 / options.ratePerS
    if (atMs >= options.durationMs) break
    arrivals.push({ atMs, kind: pickKind(options.kinds, random), caller: random.int(options.callerCount), number: random.int(100_000) })
  }
  return arrivals
}

export const startLoad = (options: LoadOptions): LoadRun => {
  const callers = createCallers(options)
  const arrivals = planArrivals(options)
  const outcomes: Promise<CallOutcome>[] = []
  const startMs = performance.now()
  let stopped = false
  let next = 0

  const startDue = (finish: () => void): void => {
    const elapsedMs = performance.now() - startMs
    for (let arrival = arrivals[next]; arrival && arrival.atMs <= elapsedMs; arrival = arrivals[++next]) {
      const caller = callers[arrival.caller] as Caller
      const outcome = caller.call(arrival.kind, `${options.idPrefix ?? 'r'}-${options.seed}-${next}`, arrival.number, startMs + arrival.atMs)
      outcomes.push(options.onOutcome ? outcome.then(ended => { options.onOutcome?.(ended); return ended }) : outcome)
    }
    const following = arrivals[next]
    if (stopped || !following) finish()
    else setTimeout(startDue, Math.max(0, following.atMs - (performance.now() - startMs)), finish)
  }

  const done = new Promise<void>(resolve => { startDue(resolve) })
    .then(() => Promise.all(outcomes))
    .finally(() => callers.forEach(caller => caller.close()))
  return { done, stop: () => { stopped = true } }
}
