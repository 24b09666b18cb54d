/**
 * Limits per caller address: open connections, and a token bucket for
 * requests. The least recently used addresses are evicted to bound memory; an
 * evicted caller starts with a full bucket on its next request.
 */
import { LRUCache } from 'lru-cache'
import type { CallerLimits, CallerLimitsOptions } from './types.js'

type Bucket = { tokens: number, filledMs: number }

export const createCallerLimits = (options: CallerLimitsOptions): CallerLimits => {
  const { connectionsMax, requestsPerS, requestBurst, callersMax } = options
  const buckets = new LRUCache<string, Bucket>({ max: callersMax })
  // Not an LRU cache: every open connection must stay counted. Bounded by callersMax in tryOpenConnection.
  const connections = new Map<string, number>()

  const tryOpenConnection = (address: string): boolean => {
    const count = connections.get(address) ?? 0
    if (count >= connectionsMax || (count === 0 && connections.size >= callersMax)) return false
    connections.set(address, count + 1)
    return true
  }

  const recordConnectionClosed = (address: string): void => {
    const count = connections.get(address) ?? 0
    if (count > 1) connections.set(address, count - 1)
    else connections.delete(address)
  }

  const refill = (bucket: Bucket, nowMs: number): void => {
    const passedMs = Math.max(0, nowMs - bucket.filledMs)
    bucket.tokens = Math.min(requestBurst, bucket.tokens + passedMs * requestsPerS / 1000)
    bucket.filledMs = nowMs
  }

  const tryRequest: CallerLimits['tryRequest'] = (address, nowMs) => {
    let bucket = buckets.get(address)
    if (!bucket) {
      bucket = { tokens: requestBurst, filledMs: nowMs }
      buckets.set(address, bucket)
    }
    refill(bucket, nowMs)
    if (bucket.tokens < 1) return { ok: false, retryAfterMs: Math.ceil((1 - bucket.tokens) * 1000 / requestsPerS) }
    bucket.tokens -= 1
    return { ok: true }
  }

  return { tryOpenConnection, recordConnectionClosed, tryRequest }
}
