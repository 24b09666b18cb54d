/**
 * Budgets of extra attempts as shares of the requests of the last ten seconds.
 * Retries have a floor, so that a node with few requests can retry until a
 * failing target is ejected. Hedges have their own smaller share; when they
 * counted against the retries too, they left too few for a target that fails
 * fast. Counts are kept in buckets, so memory does not grow with the load.
 */
import { HEDGE_SHARE, RETRY_FLOOR, RETRY_SHARE, RETRY_WINDOW_MS } from './constants.js'
import type { RetryBudget } from './types.js'

const BUCKETS = 20
const BUCKET_MS = RETRY_WINDOW_MS / BUCKETS

type Counts = { requests: number, retries: number, hedges: number }

const addCounts = (total: Counts, bucket: Counts, sign: 1 | -1): void => {
  total.requests += sign * bucket.requests
  total.retries += sign * bucket.retries
  total.hedges += sign * bucket.hedges
}

export const createRetryBudget = (): RetryBudget => {
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

  const tryTake = (purpose: 'retry' | 'hedge', nowMs: number): boolean => {
    current(nowMs)
    if (purpose === 'retry' && total.retries + 1 > Math.max(RETRY_FLOOR, RETRY_SHARE * total.requests)) return false
    // Without a floor, since a hedge serves latency only.
    if (purpose === 'hedge' && total.hedges + 1 > HEDGE_SHARE * total.requests) return false
    add(nowMs, purpose === 'retry' ? 'retries' : 'hedges')
    return true
  }

  return { noteRequest: nowMs => add(nowMs, 'requests'), tryTake }
}
