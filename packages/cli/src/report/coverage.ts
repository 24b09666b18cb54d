/**
 * For which part of a window there is data.
 */
import { MINUTE_MS } from './constants.js'
import type { Coverage, Interval, NodeRun } from './types.js'

/** Joins intervals that touch; the result is in order. */
export const joinIntervals = (intervals: readonly Interval[], gapMs = 0): Interval[] => {
  const joined: Interval[] = []
  for (const { fromMs, toMs } of [...intervals].sort((a, b) => a.fromMs - b.fromMs)) {
    const last = joined.at(-1)
    if (last && fromMs <= last.toMs + gapMs) last.toMs = Math.max(last.toMs, toMs)
    else joined.push({ fromMs, toMs })
  }
  return joined
}

const overlapMs = ({ fromMs, toMs }: Interval, window: Interval): number =>
  Math.max(0, Math.min(toMs, window.toMs) - Math.max(fromMs, window.fromMs))

const coveredMs = (intervals: readonly Interval[], window: Interval): number =>
  joinIntervals(intervals).reduce((sum, interval) => sum + overlapMs(interval, window), 0)

/**
 * A window counts as covered when some node has data at each moment of it, and
 * at its start at least half as many nodes as now: after a restart of most
 * nodes, the rest is no fair picture of the fleet. A minute may be missing at
 * the edges, since counts are kept by the minute.
 */
export const coverWindow = (runs: readonly NodeRun[], window: Interval): Coverage => {
  const total = coveredMs(runs.flatMap(({ intervals }) => intervals), window)
  const countAt = (atMs: number): number =>
    runs.filter(({ intervals }) => intervals.some(({ fromMs, toMs }) => fromMs <= atMs && atMs <= toMs)).length
  const atStart = countAt(window.fromMs + MINUTE_MS)
  return {
    coveredMs: total,
    isCovered: total >= window.toMs - window.fromMs - MINUTE_MS && atStart > 0 && atStart * 2 >= countAt(window.toMs)
  }
}

/** Coverage of the time up to now; each length is worked out once, since all services and kinds ask for the same ones. */
export const createCover = (runs: readonly NodeRun[], nowMs: number): (lengthMs: number) => Coverage => {
  const known = new Map<number, Coverage>()
  return lengthMs => {
    const coverage = known.get(lengthMs) ?? coverWindow(runs, { fromMs: nowMs - lengthMs, toMs: nowMs })
    known.set(lengthMs, coverage)
    return coverage
  }
}
