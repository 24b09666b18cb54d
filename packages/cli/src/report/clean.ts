/**
 * Converts the reports of nodes to runs and leaves out impossible counts, since
 * a single one would falsify every sum.
 */
import type { BurnBucket, NodeReport } from '@wisteriavalve/schema'
import { formatCount } from '../output.js'
import { CLOCK_TOLERANCE_MS, MINUTE_MS, NODE_BUCKETS_MAX, NODE_HISTORY_MS } from './constants.js'
import type { NodeRun } from './types.js'

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0

/** The counts by cause must not exceed the failures; this also rejects more answers than requests. */
const isConsistent = ({ requests, inTime, failures, weight }: BurnBucket): boolean =>
  isCount(requests) && isCount(inTime) && weight > 0 && Number.isFinite(weight) &&
  failures.every(({ count }) => isCount(count)) &&
  failures.reduce((sum, { count }) => sum + count, 0) <= requests - inTime

const isNotFromFuture = ({ minuteWallMs }: BurnBucket, nowMs: number): boolean =>
  Number.isFinite(minuteWallMs) && minuteWallMs >= 0 && minuteWallMs <= nowMs + CLOCK_TOLERANCE_MS

/** The data of a node can begin after its start: it drops old buckets, and the oldest ones above its limit. */
const dataStartMs = ({ sinceWallMs, buckets }: NodeReport, nowMs: number): number => {
  const startMs = Math.max(sinceWallMs, nowMs - NODE_HISTORY_MS)
  if (buckets.length < NODE_BUCKETS_MAX) return startMs
  return Math.max(startMs, Math.min(...buckets.map(({ minuteWallMs }) => minuteWallMs)) + MINUTE_MS)
}

/** @param problems receives a message for each part that was left out */
export const cleanReport = (report: NodeReport, nowMs: number, problems: string[]): NodeRun | undefined => {
  const { nodeId, zone, sinceWallMs, buckets, events } = report
  if (!Number.isFinite(sinceWallMs) || sinceWallMs > nowMs + CLOCK_TOLERANCE_MS) {
    problems.push(`${nodeId} was left out: its clock is ahead of this machine's`)
    return undefined
  }
  const consistent = buckets.filter(isConsistent)
  const kept = consistent.filter(bucket => isNotFromFuture(bucket, nowMs))
  if (consistent.length < buckets.length) problems.push(`${formatCount(buckets.length - consistent.length, 'count')} of ${nodeId} left out: impossible, such as more answers than requests`)
  if (kept.length < consistent.length) problems.push(`${formatCount(consistent.length - kept.length, 'count')} of ${nodeId} left out: from the future, so its clock is wrong`)
  return {
    nodeId, zone, sinceWallMs, events, buckets: kept, intervals: [{ fromMs: Math.min(dataStartMs(report, nowMs), nowMs), toMs: nowMs }]
  }
}
