/**
 * Counts and histograms of the request path. Counting is a plain addition.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Clock } from '@wisteriavalve/common'
import type { Kind } from '@wisteriavalve/schema'

const US_PER_MS = 1_000
const HALF_WINDOW_MS = 1_800_000

export type KindCounts = { service: string, kind: string, byResult: Map<string, number> }

export type Metrics = {
  countResult: (service: string, kind: Kind, result: string) => void
  /** Time from the arrival of a request to its answer, and to its first write. */
  recordAnswer: (durationMs: number) => void
  recordDispatch: (durationMs: number) => void
  add: (counter: CounterName) => void
  /** To be called now and then, so that old durations are dropped. */
  rotate: (nowMs: number) => void
  counters: () => Record<string, number>
  text: () => Promise<string>
}

export type CounterName = 'retries' | 'hedges' | 'refused' | 'pauses' | 'retired_connections' | 'load_probes'

export type Gauges = () => Record<string, number>

const createHistogram = (): Histogram => build({
  bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000 * US_PER_MS, numberOfSignificantValueDigits: 2, useWebAssembly: false
})

export type Durations = { record: (durationMs: number) => void, rotate: (nowMs: number) => void, quantileMs: (percentile: number) => number }

/** Durations of the last half to whole hour: the older half is dropped when the newer one is full. */
const createDurations = (clock: Clock): Durations => {
  let older = createHistogram()
  let newer = createHistogram()
  let newerSinceMs = clock.nowMs()

  const rotate = (nowMs: number): void => {
    if (nowMs - newerSinceMs < HALF_WINDOW_MS) return
    newerSinceMs = nowMs
    older = newer
    newer = createHistogram()
  }

  return {
    rotate,
    record: durationMs => newer.recordValue(Math.max(1, Math.round(durationMs * US_PER_MS))),
    quantileMs: percentile => {
      const all = createHistogram()
      all.add(older)
      all.add(newer)
      return all.totalCount === 0 ? 0 : all.getValueAtPercentile(percentile) / US_PER_MS
    }
  }
}

/** @param gauges further values of the node, read when metrics are asked for */
export const createMetrics = (clock: Clock, gauges: Gauges): Metrics => {
  const results = new Map<string, KindCounts>()
  const counts: Record<CounterName, number> = { retries: 0, hedges: 0, refused: 0, pauses: 0, retired_connections: 0, load_probes: 0 }
  const answers = createDurations(clock)
  const dispatches = createDurations(clock)
  let renderer: (() => Promise<string>) | undefined

  const countResult = (service: string, kind: Kind, result: string): void => {
    const key = `${service} ${kind.name}`
    let entry = results.get(key)
    if (!entry) results.set(key, entry = { service, kind: kind.name, byResult: new Map() })
    entry.byResult.set(result, (entry.byResult.get(result) ?? 0) + 1)
  }

  const resultTotals = (): Record<string, number> => {
    const totals: Record<string, number> = {}
    for (const { byResult } of results.values()) {
      for (const [result, count] of byResult) totals[`result_${result}`] = (totals[`result_${result}`] ?? 0) + count
    }
    return totals
  }

  return {
    countResult,
    recordAnswer: answers.record,
    recordDispatch: dispatches.record,
    add: counter => { counts[counter]++ },
    rotate: nowMs => {
      answers.rotate(nowMs)
      dispatches.rotate(nowMs)
    },
    counters: () => ({ ...resultTotals(), ...counts, ...gauges() }),
    text: async () => {
      // Loaded when metrics are asked for, which keeps the start short.
      renderer ??= (await import('./metrics-text.js')).createMetricsText({ results, answers, dispatches, gauges: () => ({ ...counts, ...gauges() }) })
      return renderer()
    }
  }
}
