/**
 * Burn rates and error budgets. A level is one kind or several kinds counted
 * together. In the latter case each request is weighted by its kind and measured
 * against the objective of its kind: a late order counts more than a late page.
 */
import type { BurnBucket, Objective } from '@wisteriavalve/schema'
import { BURN_ALERTS, DAY_MS, MINUTE_MS } from './constants.js'
import type { AlertState, BurnAlert, BurnContext, BurnWindow, Counts, ErrorBudget, KindCounts, LevelReport } from './types.js'

const PERCENT = 100
const DEFAULT_WINDOW_DAYS = 30

export const addCounts = (counts: readonly Counts[]): Counts =>
  counts.reduce<Counts>((sum, { requests, inTime }) => ({ requests: sum.requests + requests, inTime: sum.inTime + inTime }), { requests: 0, inTime: 0 })

/** Share of requests that the objective allows to be late or to fail. */
const allowedFailureShare = ({ inTimePercent }: Objective): number => (PERCENT - inTimePercent) / PERCENT

const sumBy = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0)

/** Undefined without requests. */
export const inTimePercent = (kinds: readonly KindCounts[]): number | undefined => {
  const requests = sumBy(kinds, ({ counts, weight }) => weight * counts.requests)
  return requests === 0 ? undefined : sumBy(kinds, ({ counts, weight }) => weight * counts.inTime) / requests * PERCENT
}

/** Weighted failures divided by those that the objectives allow; undefined without requests or objectives. */
export const burnRate = (kinds: readonly KindCounts[]): number | undefined => {
  const measured = kinds.flatMap(({ counts, weight, objective }) => objective ? [{ counts, weight, allowed: allowedFailureShare(objective) }] : [])
  const allowed = sumBy(measured, ({ counts, weight, allowed }) => weight * counts.requests * allowed)
  return allowed === 0 ? undefined : sumBy(measured, ({ counts, weight }) => weight * (counts.requests - counts.inTime)) / allowed
}

/** Latest value of a field, which can change within the data when new answers are published. */
const latestValue = <T>(buckets: readonly BurnBucket[], read: (bucket: BurnBucket) => T | undefined): T | undefined =>
  buckets.reduce<{ atMs: number, value?: T }>((found, bucket) => {
    const value = read(bucket)
    return value !== undefined && bucket.minuteWallMs >= found.atMs ? { atMs: bucket.minuteWallMs, value } : found
  }, { atMs: -Infinity }).value

/** Buckets of one kind of one service. */
export type KindBuckets = { kind: string, weight: number, objective?: Objective, buckets: readonly BurnBucket[] }

export const toKindBuckets = (kind: string, buckets: readonly BurnBucket[]): KindBuckets =>
  ({ kind, weight: latestValue(buckets, ({ weight }) => weight) ?? 1, objective: latestValue(buckets, ({ objective }) => objective), buckets })

/** Counts a minute when any part of it lies in the window. */
export const countSince = (kinds: readonly KindBuckets[], fromMs: number): KindCounts[] =>
  kinds.map(({ weight, objective, buckets }) =>
    ({ weight, objective, counts: addCounts(buckets.filter(({ minuteWallMs }) => minuteWallMs > fromMs - MINUTE_MS)) }))

const measureWindow = (lengthMs: number, kinds: readonly KindBuckets[], { coverageOf, nowMs }: BurnContext): BurnWindow => {
  const counts = countSince(kinds, nowMs - lengthMs)
  return {
    lengthMs,
    counts: addCounts(counts.map(kind => kind.counts)),
    burnRate: burnRate(counts),
    ...coverageOf(lengthMs)
  }
}

/**
 * With incomplete data an alert is never calm, since the missing nodes may be
 * the failing ones. It can fire on the data of the nodes that answered, but not
 * when a window begins before the data: a short burst would weigh too much.
 */
const evaluateAlert = (short: BurnWindow, long: BurnWindow, threshold: number, isComplete: boolean): AlertState => {
  if (!short.isCovered || !long.isCovered) return 'unknown'
  if ((short.burnRate ?? 0) > threshold && (long.burnRate ?? 0) > threshold) return 'firing'
  return isComplete ? 'calm' : 'unknown'
}

const longestWindowDays = (kinds: readonly KindBuckets[]): number =>
  Math.max(0, ...kinds.map(({ objective }) => objective?.windowDays ?? 0)) || DEFAULT_WINDOW_DAYS

const measureAlerts = (kinds: readonly KindBuckets[], context: BurnContext): BurnAlert[] => {
  const hasObjective = kinds.some(({ objective }) => objective !== undefined)
  return BURN_ALERTS.map(({ name, shortMs, longMs, budgetShare }) => {
    const short = measureWindow(shortMs, kinds, context)
    const long = measureWindow(longMs, kinds, context)
    const threshold = budgetShare * longestWindowDays(kinds) * DAY_MS / longMs
    return { name, short, long, threshold, state: hasObjective ? evaluateAlert(short, long, threshold, context.isComplete) : 'unknown' }
  })
}

/**
 * Measures the failures against the budget of the whole window. For the time
 * without data, the request rate of the time with data is assumed.
 */
const measureBudget = (kinds: readonly KindBuckets[], { coverageOf, nowMs, isComplete }: BurnContext): ErrorBudget | undefined => {
  const windowMs = longestWindowDays(kinds) * DAY_MS
  const rate = burnRate(countSince(kinds, nowMs - windowMs))
  const coverage = coverageOf(windowMs)
  if (rate === undefined || coverage.coveredMs === 0) return undefined
  const usedPercent = rate * Math.min(1, coverage.coveredMs / windowMs) * PERCENT
  return {
    usedPercent, leftPercentMax: PERCENT - usedPercent, isCovered: coverage.isCovered && isComplete, coveredMs: coverage.coveredMs, windowMs
  }
}

export const measureLevel = (kinds: readonly KindBuckets[], context: BurnContext): LevelReport => {
  const counts = countSince(kinds, -Infinity)
  return {
    counts: addCounts(counts.map(kind => kind.counts)),
    inTimePercent: inTimePercent(counts),
    alerts: measureAlerts(kinds, context),
    budget: measureBudget(kinds, context)
  }
}
