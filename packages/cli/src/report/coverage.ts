/**
 * Coverage of a window: the part of it for which there is data.
 */
import { MINUTE_MS } from './constants.js'
import type { Coverage, Interval, NodeRun } from './types.js'

/** Merges intervals that overlap or are at most the gap apart; the result is sorted. */
export const mergeIntervals = (intervals: readonly Interval[], gapMs = 0): Interval[] => {
  const merged: Interval[] = []
  for (const { fromMs, toMs } of [...intervals].sort((a, b) => a.fromMs - b.fromMs)) {
    const last = merged.at(-1)
    if (last && fromMs <= last.toMs + gapMs) last.toMs = Math.max(last.toMs, toMs)
    else merged.push({ fromMs, toMs })
  }
  return merged
}

const overlapMs = ({ fromMs, toMs }: Interval, window: Interval): number =>
  Math.max(0, Math.min(toMs, window.toMs) - Math.max(fromMs, window.fromMs))

const coveredMs = (intervals: readonly Interval[], window: Interval): number =>
  mergeIntervals(intervals).reduce((sum, interval) => sum + overlapMs(interval, window), 0)

/**
 * A window is covered when at least one node has data at every moment of it, and
 * at least half as many nodes have data at its start as at its end: after a
 * restart of most nodes, the others do not represent the fleet. One minute in
 * total may be missing, since counts are kept by the minute.
 */
export const measureCoverage = (runs: readonly NodeRun[], window: Interval): Coverage => {
  const total = coveredMs(runs.flatMap(({ intervals }) => intervals), window)
  const nodeCountAt = (atMs: number): number =>
    runs.filter(({ intervals }) => intervals.some(({ fromMs, toMs }) => fromMs <= atMs && atMs <= toMs)).length
  const nodeCountAtStart = nodeCountAt(window.fromMs + MINUTE_MS)
  return {
    coveredMs: total,
    isCovered: total >= window.toMs - window.fromMs - MINUTE_MS && nodeCountAtStart > 0 && nodeCountAtStart * 2 >= nodeCountAt(window.toMs)
  }
}

/** Coverage of windows that end now, cached by length: all services and kinds use the same windows. */
export const createCoverageLookup = (runs: readonly NodeRun[], nowMs: number): (lengthMs: number) => Coverage => {
  const coverageByLength = new Map<number, Coverage>()
  return lengthMs => {
    const coverage = coverageByLength.get(lengthMs) ?? measureCoverage(runs, { fromMs: nowMs - lengthMs, toMs: nowMs })
    coverageByLength.set(lengthMs, coverage)
    return coverage
  }
}
