/**
 * Budgets of extra attempts as shares of the requests of the last ten seconds.
 * Retries have a floor, so that a node with few requests can retry until a
 * failing target is ejected. Hedges have their own share; when they counted
 * against the retries too, they left too few for a target that fails fast.
 * Counts are kept in buckets, so memory does not grow with the load.
 */
import { HEDGE_SHARE, RETRY_FLOOR, RETRY_SHARE, RETRY_WINDOW_MS } from './constants.js'
import type { RepeatPurpose, RetryBudget, RetryLimits } from './types.js'

const BUCKETS = 20
const BUCKET_MS = RETRY_WINDOW_MS / BUCKETS

const DEFAULT_LIMITS: RetryLimits = {
  retriesMax: requestCount => Math.max(RETRY_FLOOR, RETRY_SHARE * requestCount),
  // Without a floor, since a hedge serves latency only.
  hedgesMax: requestCount => HEDGE_SHARE * requestCount
}

/** Part of a limit for a whole fleet that repeats may use, since the nodes' windows do not begin together. */
const FLEET_PART = 0.85
/** Part that hedges may use at most, so that retries are left when targets begin to fail. */
const FLEET_HEDGE_PART = 0.5

/**
 * This node's part of a limit for the whole fleet: `share` of the requests of
 * a service, and `extra` on top for all nodes together. Shares need no
 * agreement, since each node takes them of its own requests.
 */
export const shareRetryLimits = (share: number, extra: number, fleetSize: () => number): RetryLimits => ({
  retriesMax: (requestCount, hedgeCount) => FLEET_PART * (extra / fleetSize() + share * requestCount) - hedgeCount,
  hedgesMax: (requestCount, retryCount) => Math.min(FLEET_HEDGE_PART * share * requestCount, FLEET_PART * share * requestCount - retryCount)
})

type Counts = { requests: number, retries: number, hedges: number }

const addCounts = (total: Counts, bucket: Counts, sign: 1 | -1): void => {
  total.requests += sign * bucket.requests
  total.retries += sign * bucket.retries
  total.hedges += sign * bucket.hedges
}

export const createRetryBudget = ({ retriesMax, hedgesMax }: RetryLimits = DEFAULT_LIMITS): RetryBudget => {
  const buckets = Array.from({ length: BUCKETS }, (): Counts => ({ requests: 0, retries: 0, hedges: 0 }))
  const total: Counts = { requests: 0, retries: 0, hedges: 0 }
  let newest = -Infinity

  /** Clears the buckets that left the window and returns the current one. */
  const current = (nowMs: number): Counts => {
    const number = Math.max(newest, Math.floor(nowMs / BUCKET_MS))
    const passed = Math.min(BUCKETS, number - newest)
    for (let step = 0; step < passed; step++) {
      const bucket = buckets[(((number - step) % BUCKETS) + BUCKETS) % BUCKETS] as Counts
      addCounts(total, bucket, -1)
      bucket.requests = bucket.retries = bucket.hedges = 0
    }
    newest = number
    return buckets[((number % BUCKETS) + BUCKETS) % BUCKETS] as Counts
  }

  const add = (nowMs: number, field: keyof Counts): void => {
    current(nowMs)[field]++
    total[field]++
  }

  const left = (purpose: RepeatPurpose, nowMs: number): number => {
    current(nowMs)
    const { requests, retries, hedges } = total
    const count = purpose === 'retry' ? retriesMax(requests, hedges) - retries : hedgesMax(requests, retries) - hedges
    return Math.max(0, Math.floor(count))
  }

  const tryTake = (purpose: RepeatPurpose, nowMs: number): boolean => {
    if (left(purpose, nowMs) === 0) return false
    add(nowMs, purpose === 'retry' ? 'retries' : 'hedges')
    return true
  }

  return { noteRequest: nowMs => add(nowMs, 'requests'), tryTake, left }
}
