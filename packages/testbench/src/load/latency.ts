/**
 * Summaries of outcomes: latency percentiles and the share of requests in time,
 * for each kind and weighted over all kinds.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { CallOutcome } from './types.js'

export type LatencySummary = {
  requests: number
  inTimePercent: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
}

const US_PER_MS = 1000
const HIGHEST_US = 120_000_000

const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 })

const percentileMs = (histogram: Histogram, percentile: number): number =>
  histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS

const summarizeWith = (outcomes: readonly CallOutcome[], weightOf: (outcome: CallOutcome) => number): LatencySummary => {
  const histogram = createHistogram()
  let total = 0
  let inTime = 0
  for (const outcome of outcomes) {
    const weight = weightOf(outcome)
    total += weight
    if (outcome.result === 'in-time') inTime += weight
    histogram.recordValueWithCount(Math.min(HIGHEST_US, Math.max(1, Math.round(outcome.latencyMs * US_PER_MS))), weight)
  }
  return {
    requests: outcomes.length,
    inTimePercent: total === 0 ? 0 : 100 * inTime / total,
    p50Ms: percentileMs(histogram, 50),
    p99Ms: percentileMs(histogram, 99),
    p999Ms: percentileMs(histogram, 99.9)
  }
}

export const summarize = (outcomes: readonly CallOutcome[]): LatencySummary => summarizeWith(outcomes, () => 1)

/** Counts each request with the weight of its kind. */
export const summarizeWeighted = (outcomes: readonly CallOutcome[]): LatencySummary => summarizeWith(outcomes, outcome => outcome.weight)

export const summarizeByKind = (outcomes: readonly CallOutcome[]): Map<string, LatencySummary> => {
  const groups = new Map<string, CallOutcome[]>()
  for (const outcome of outcomes) {
    const name = `${outcome.service}/${outcome.kind}`
    const group = groups.get(name)
    if (group) group.push(outcome)
    else groups.set(name, [outcome])
  }
  return new Map([...groups].map(([name, group]) => [name, summarize(group)]))
}
