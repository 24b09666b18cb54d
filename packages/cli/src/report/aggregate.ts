/**
 * Adds up the counts of all nodes for each minute, service and kind, so that
 * everything else works on as many counts as one node has.
 */
import type { BurnBucket } from '@wisteriavalve/schema'
import type { NodeRun } from './types.js'

/** During a change of the configuration nodes can differ in weight and objective; the last one seen counts. */
const add = (sum: BurnBucket | undefined, bucket: BurnBucket): BurnBucket => sum
  ? {
      ...bucket,
      requests: sum.requests + bucket.requests,
      inTime: sum.inTime + bucket.inTime,
      failures: [...sum.failures, ...bucket.failures],
      objective: bucket.objective ?? sum.objective
    }
  : bucket

export const aggregateBuckets = (runs: readonly NodeRun[]): BurnBucket[] => {
  const sums = new Map<string, BurnBucket>()
  for (const { buckets } of runs) {
    for (const bucket of buckets) {
      const key = `${bucket.minuteWallMs} ${bucket.service} ${bucket.kind}`
      sums.set(key, add(sums.get(key), bucket))
    }
  }
  return [...sums.values()]
}
