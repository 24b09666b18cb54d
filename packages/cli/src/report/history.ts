/**
 * History file with the data of earlier reports. Daemons keep one hour of data
 * and VMs have no disks, so windows of 6 h and more require a report with
 * --history to be run every half hour.
 */
import { isNodeReport, type BurnBucket, type EventEntry, type NodeReport } from '@wisteriavalve/schema'
import { CLOCK_TOLERANCE_MS, DAY_MS, MINUTE_MS } from './constants.js'
import { mergeIntervals } from './coverage.js'
import type { Interval, NodeRun } from './types.js'

const FORMAT = 1
/** Longest objective window. */
const RETENTION_MS = 366 * DAY_MS
const EVENTS_PER_RUN_MAX = 10_000

export type History = { format: typeof FORMAT, runs: NodeRun[] }

const isInterval = (entry: unknown): entry is Interval => {
  const { fromMs, toMs } = (entry ?? {}) as Partial<Interval>
  return Number.isFinite(fromMs) && Number.isFinite(toMs)
}

const isNodeRun = (entry: unknown): entry is NodeRun => {
  if (typeof entry !== 'object' || entry === null) return false
  const { intervals, ...report } = entry as NodeRun
  return Array.isArray(intervals) && intervals.every(isInterval) && isNodeReport(report as unknown as NodeReport)
}

/** @returns undefined when the text is not a history in this format */
export const parseHistory = (text: string): History | undefined => {
  try {
    const document = JSON.parse(text) as Partial<History> | null
    return document?.format === FORMAT && Array.isArray(document.runs) && document.runs.every(isNodeRun) ? document as History : undefined
  } catch {
    return undefined
  }
}

const runKey = ({ nodeId, sinceWallMs }: NodeRun): string => `${nodeId} ${sinceWallMs}`
const bucketKey = ({ minuteWallMs, service, kind }: BurnBucket): string => `${minuteWallMs} ${service} ${kind}`
const eventKey = ({ wallMs, event, requestId, text }: EventEntry): string => [wallMs, event, requestId, text].join(' ')

/** Keeps the bucket with more requests: a minute that was in progress when first collected is complete in a later report. */
const mergeBuckets = (older: readonly BurnBucket[], newer: readonly BurnBucket[]): BurnBucket[] => {
  const merged = new Map(older.map(bucket => [bucketKey(bucket), bucket]))
  for (const bucket of newer) {
    const existing = merged.get(bucketKey(bucket))
    if (!existing || bucket.requests >= existing.requests) merged.set(bucketKey(bucket), bucket)
  }
  return [...merged.values()]
}

const mergeEvents = (older: readonly EventEntry[], newer: readonly EventEntry[]): EventEntry[] =>
  [...new Map([...older, ...newer].map(event => [eventKey(event), event])).values()].slice(-EVENTS_PER_RUN_MAX)

const mergeRun = (older: NodeRun, newer: NodeRun): NodeRun => ({
  ...newer,
  intervals: mergeIntervals([...older.intervals, ...newer.intervals]),
  buckets: mergeBuckets(older.buckets, newer.buckets),
  events: mergeEvents(older.events, newer.events)
})

const dropOlderThan = (run: NodeRun, oldestMs: number): NodeRun => ({
  ...run,
  intervals: run.intervals.filter(({ toMs }) => toMs > oldestMs),
  buckets: run.buckets.filter(({ minuteWallMs }) => minuteWallMs + MINUTE_MS > oldestMs),
  events: run.events.filter(({ wallMs }) => wallMs > oldestMs)
})

/** Merges the runs of the history with the current ones; each minute is counted once. */
export const mergeHistory = (history: readonly NodeRun[], runs: readonly NodeRun[], nowMs: number): NodeRun[] => {
  const merged = new Map<string, NodeRun>()
  const past = history.filter(({ intervals }) => intervals.every(({ toMs }) => toMs <= nowMs + CLOCK_TOLERANCE_MS))
  for (const run of [...past, ...runs]) {
    const existing = merged.get(runKey(run))
    merged.set(runKey(run), existing ? mergeRun(existing, run) : run)
  }
  return [...merged.values()].map(run => dropOlderThan(run, nowMs - RETENTION_MS)).filter(({ intervals }) => intervals.length > 0)
}

export const formatHistory = (runs: readonly NodeRun[]): string => JSON.stringify({ format: FORMAT, runs } satisfies { format: number, runs: readonly NodeRun[] })
