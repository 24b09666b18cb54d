/**
 * What used up the error budget: targets, causes and hours.
 */
import type { BurnBucket } from '@wisteriavalve/schema'
import { formatMinute } from '../time.js'
import { CONSUMERS_MAX, HOUR_MS } from './constants.js'
import type { Consumer, Consumers } from './types.js'

const PERCENT = 100

/** Largest first; the rest is summed up in one row. */
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

const failuresOf = (bucket: BurnBucket): number => bucket.requests - bucket.inTime

/** Failures that a node counted without noting their cause. */
const unnotedOf = (bucket: BurnBucket): number =>
  failuresOf(bucket) - bucket.failures.reduce((sum, { count }) => sum + count, 0)

const UNNOTED = 'not noted'
const NO_TARGET = 'no target'

export const findConsumers = (buckets: readonly BurnBucket[]): Consumers => {
  const failures = buckets.flatMap(bucket => [...bucket.failures, { cause: UNNOTED, targetId: UNNOTED, count: unnotedOf(bucket) }])
  return {
    failureCount: buckets.reduce((sum, bucket) => sum + failuresOf(bucket), 0),
    targets: rankConsumers(failures.map(({ targetId, count }) => [targetId === '' ? NO_TARGET : targetId, count])),
    causes: rankConsumers(failures.map(({ cause, count }) => [cause, count])),
    hours: rankConsumers(buckets.map(bucket => [formatMinute(Math.floor(bucket.minuteWallMs / HOUR_MS) * HOUR_MS), failuresOf(bucket)]))
  }
}
