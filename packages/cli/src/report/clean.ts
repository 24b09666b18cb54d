/**
 * Takes the reports of nodes apart into runs and leaves out what cannot be
 * true, since one impossible count would spoil every sum.
 */
import type { BurnBucket, NodeReport } from '@wisteriavalve/schema'
import { countOf } from '../output.js'
import { CLOCK_TOLERANCE_MS, MINUTE_MS, NODE_BUCKETS_MAX, NODE_HISTORY_MS } from './constants.js'
import type { NodeRun } from './types.js'

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0

/** Causes add up to the failures at most, which also rules out more answers than requests. */
const isPossible = ({ requests, inTime, failures, weight }: BurnBucket): boolean =>
  isCount(requests) && isCount(inTime) && weight > 0 && Number.isFinite(weight) &&
  failures.every(({ count }) => isCount(count)) &&
  failures.reduce((sum, { count }) => sum + count, 0) <= requests - inTime

const isInTime = ({ minuteWallMs }: BurnBucket, nowMs: number): boolean =>
  Number.isFinite(minuteWallMs) && minuteWallMs >= 0 && minuteWallMs <= nowMs + CLOCK_TOLERANCE_MS

/** The node's history may be shorter than its uptime: it drops what is old or too much. */
const dataStart = ({ sinceWallMs, buckets }: NodeReport, nowMs: number): number => {
  const kept = Math.max(sinceWallMs, nowMs - NODE_HISTORY_MS)
  if (buckets.length < NODE_BUCKETS_MAX) return kept
  return Math.max(kept, Math.min(...buckets.map(({ minuteWallMs }) => minuteWallMs)) + MINUTE_MS)
}

/** @param problems collects what was left out */
export const cleanReport = (report: NodeReport, nowMs: number, problems: string[]): NodeRun | undefined => {
  const { nodeId, zone, sinceWallMs, buckets, events } = report
  if (!Number.isFinite(sinceWallMs) || sinceWallMs > nowMs + CLOCK_TOLERANCE_MS) {
    problems.push(`${nodeId} was left out: its clock is ahead of this machine's`)
    return undefined
  }
  const possible = buckets.filter(isPossible)
  const kept = possible.filter(bucket => isInTime(bucket, nowMs))
  if (possible.length < buckets.length) problems.push(`${countOf(buckets.length - possible.length, 'count')} of ${nodeId} left out: impossible, such as more answers than requests`)
  if (kept.length < possible.length) problems.push(`${countOf(possible.length - kept.length, 'count')} of ${nodeId} left out: from the future, so its clock is wrong`)
  return {
    nodeId, zone, sinceWallMs, events, buckets: kept, intervals: [{ fromMs: Math.min(dataStart(report, nowMs), nowMs), toMs: nowMs }]
  }
}
