/**
 * Budgets for extra attempts, as shares of the requests of the last ten seconds.
 * Retries have a floor: a node with few requests must be able to retry until a
 * failing target is ejected. Hedges have a separate share: when hedges also
 * counted against the retry budget, too few retries were left for a target that
 * fails fast. Counts are kept in buckets, so memory does not grow with the load.
 */
import { HEDGE_SHARE, RETRY_FLOOR, RETRY_SHARE, RETRY_WINDOW_MS } from './constants.js'
import type { RepeatPurpose, RetryBudget, RetryLimits } from './types.js'

const BUCKET_COUNT = 20
const BUCKET_MS = RETRY_WINDOW_MS / BUCKET_COUNT

const DEFAULT_LIMITS: RetryLimits = {
  retriesMax: requestCount => Math.max(RETRY_FLOOR, RETRY_SHARE * requestCount),
  // Without a floor, since a hedge serves latency only.
  hedgesMax: requestCount => HEDGE_SHARE * requestCount
}

/** Share of a fleet-wide limit that extra attempts may use. The rest is a margin, since the nodes' windows are not aligned. */
const FLEET_LIMIT_SHARE = 0.85
/** Maximum share of a fleet-wide limit for hedges. The rest is kept for retries when targets start to fail. */
const FLEET_HEDGE_SHARE = 0.5

/**
 * This node's part of a fleet-wide limit: `share` of the requests of a service,
 * plus `extra` attempts for all nodes together. The share needs no coordination
 * between nodes, since each node applies it to its own requests.
 */
export const shareRetryLimits = (share: number, extra: number, fleetSize: () => number): RetryLimits => ({
  retriesMax: (requestCount, hedgeCount) => FLEET_LIMIT_SHARE * (extra / fleetSize() + share * requestCount) - hedgeCount,
  hedgesMax: (requestCount, retryCount) => Math.min(FLEET_HEDGE_SHARE * share * requestCount, FLEET_LIMIT_SHARE * share * requestCount - retryCount)
})

type Counts = { requests: number, retries: number, hedges: number }

const addCounts = (total: Counts, bucket: Counts, sign: 1 | -1): void => {
  total.requests += sign * bucket.requests
  total.retries += sign * bucket.retries
  total.hedges += sign * bucket.hedges
}

export const createRetryBudget = ({ retriesMax, hedgesMax }: RetryLimits = DEFAULT_LIMITS): RetryBudget => {
  const buckets = Array.from({ length: BUCKET_COUNT }, (): Counts => ({ requests: 0, retries: 0, hedges: 0 }))
  const total: Counts = { requests: 0, retries: 0, hedges: 0 }
  let newestBucketNumber = -Infinity

  /** Clears the buckets that left the window and returns the current bucket. */
  const currentBucket = (nowMs: number): Counts => {
    const bucketNumber = Math.max(newestBucketNumber, Math.floor(nowMs / BUCKET_MS))
    const passedCount = Math.min(BUCKET_COUNT, bucketNumber - newestBucketNumber)
    for (let step = 0; step < passedCount; step++) {
      const bucket = buckets[(((bucketNumber - step) % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT] as Counts
      addCounts(total, bucket, -1)
      bucket.requests = bucket.retries = bucket.hedges = 0
    }
    newestBucketNumber = bucketNumber
    return buckets[((bucketNumber % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT] as Counts
  }

  const add = (nowMs: number, field: keyof Counts): void => {
    currentBucket(nowMs)[field]++
    total[field]++
  }

  const remaining = (purpose: RepeatPurpose, nowMs: number): number => {
    currentBucket(nowMs)
    const { requests, retries, hedges } = total
    const count = purpose === 'retry' ? retriesMax(requests, hedges) - retries : hedgesMax(requests, retries) - hedges
    return Math.max(0, Math.floor(count))
  }

  const tryTake = (purpose: RepeatPurpose, nowMs: number): boolean => {
    if (remaining(purpose, nowMs) === 0) return false
    add(nowMs, purpose === 'retry' ? 'retries' : 'hedges')
    return true
  }

  return { recordRequest: nowMs => add(nowMs, 'requests'), tryTake, remaining }
}
