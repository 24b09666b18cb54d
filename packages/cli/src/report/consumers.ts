/**
 * Failures by target, cause and hour: what used up the error budget.
 */
import type { BurnBucket } from '@wisteriavalve/schema'
import { formatDateTime } from '../time.js'
import { CONSUMERS_MAX, HOUR_MS } from './constants.js'
import type { Consumer, Consumers } from './types.js'

const PERCENT = 100

/** Sorts by count, largest first, and sums the remaining ones in one row. */
export const rankConsumers = (entries: Iterable<readonly [string, number]>): Consumer[] => {
  const counts = new Map<string, number>()
  for (const [name, count] of entries) counts.set(name, (counts.get(name) ?? 0) + count)
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0)
  const toConsumer = ([name, count]: readonly [string, number]): Consumer => ({ name, count, percent: count / total * PERCENT })
  const ranked = [...counts].filter(([, count]) => count > 0).sort(([a, m], [b, n]) => n - m || (a < b ? -1 : 1))
  const rest = ranked.slice(CONSUMERS_MAX)
  return [
    ...ranked.slice(0, CONSUMERS_MAX).map(toConsumer),
    ...(rest.length > 0 ? [toConsumer([`${rest.length} others`, rest.reduce((sum, [, count]) => sum + count, 0)])] : [])
  ]
}

const failureCountOf = (bucket: BurnBucket): number => bucket.requests - bucket.inTime

/** Failures that a node counted without a cause. */
const countWithoutCause = (bucket: BurnBucket): number =>
  failureCountOf(bucket) - bucket.failures.reduce((sum, { count }) => sum + count, 0)

const NOT_RECORDED = 'not noted'
const NO_TARGET = 'no target'

export const findConsumers = (buckets: readonly BurnBucket[]): Consumers => {
  const failures = buckets.flatMap(bucket => [...bucket.failures, { cause: NOT_RECORDED, targetId: NOT_RECORDED, count: countWithoutCause(bucket) }])
  return {
    failureCount: buckets.reduce((sum, bucket) => sum + failureCountOf(bucket), 0),
    targets: rankConsumers(failures.map(({ targetId, count }) => [targetId === '' ? NO_TARGET : targetId, count])),
    causes: rankConsumers(failures.map(({ cause, count }) => [cause, count])),
    hours: rankConsumers(buckets.map(bucket => [formatDateTime(Math.floor(bucket.minuteWallMs / HOUR_MS) * HOUR_MS), failureCountOf(bucket)]))
  }
}
