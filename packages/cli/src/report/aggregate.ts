/**
 * Sums the counts of all nodes for each minute, service and kind. The rest of
 * the report then works on no more buckets than one node has.
 */
import type { BurnBucket } from '@wisteriavalve/schema'
import type { NodeRun } from './types.js'

/** Nodes can differ in weight and objective while a configuration is rolled out; the values of the last bucket are used. */
const addBucket = (sum: BurnBucket | undefined, bucket: BurnBucket): BurnBucket => sum
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
      sums.set(key, addBucket(sums.get(key), bucket))
    }
  }
  return [...sums.values()]
}
