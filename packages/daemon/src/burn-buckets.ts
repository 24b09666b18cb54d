/**
 * Counts requests per minute, service and kind for the burn rate of the
 * service-level objectives. Buckets are kept for one hour, the long window of
 * the burn rate.
 */
import type { BurnBucket, Kind } from '@wisteriavalve/schema'
import { BURN_BUCKETS_MAX, BURN_CAUSES_MAX, BURN_MINUTES } from './constants.js'

const MINUTE_MS = 60_000
const OTHER = 'other'

export type BurnBuckets = {
  /** @param cause undefined for a response in time */
  count: (service: string, kind: Kind, cause: string | undefined, targetId: string | undefined, wallMs: number) => void
  list: (wallMs: number) => BurnBucket[]
}

const addFailure = ({ failures }: BurnBucket, cause: string, targetId: string): void => {
  const isFull = failures.length >= BURN_CAUSES_MAX
  const existing = failures.find(failure => failure.cause === cause && failure.targetId === targetId) ??
    (isFull ? failures.find(failure => failure.cause === OTHER) : undefined)
  if (existing) existing.count++
  else failures.push(isFull ? { cause: OTHER, targetId: '', count: 1 } : { cause, targetId, count: 1 })
}

export const createBurnBuckets = (): BurnBuckets => {
  const history: BurnBucket[] = []
  const current = new Map<string, Map<string, BurnBucket>>()
  let minuteWallMs = 0

  const closeMinute = (startWallMs: number): void => {
    for (const kinds of current.values()) history.push(...kinds.values())
    current.clear()
    minuteWallMs = startWallMs
    const oldestMs = startWallMs - BURN_MINUTES * MINUTE_MS
    const expired = history.findIndex(bucket => bucket.minuteWallMs >= oldestMs)
    history.splice(0, Math.max(expired < 0 ? history.length : expired, history.length - BURN_BUCKETS_MAX))
  }

  const advance = (wallMs: number): void => {
    const startWallMs = Math.floor(wallMs / MINUTE_MS) * MINUTE_MS
    // If the wall clock was set back, counting continues in the open minute.
    if (startWallMs > minuteWallMs) closeMinute(startWallMs)
  }

  const bucketOf = (service: string, kind: Kind): BurnBucket => {
    let kinds = current.get(service)
    if (!kinds) current.set(service, kinds = new Map())
    let bucket = kinds.get(kind.name)
    if (!bucket) {
      bucket = { minuteWallMs, service, kind: kind.name, weight: kind.weight, objective: kind.objective, requests: 0, inTime: 0, failures: [] }
      kinds.set(kind.name, bucket)
    }
    return bucket
  }

  return {
    count: (service, kind, cause, targetId, wallMs) => {
      advance(wallMs)
      const bucket = bucketOf(service, kind)
      bucket.requests++
      if (cause === undefined) bucket.inTime++
      else addFailure(bucket, cause, targetId ?? '')
    },
    list: wallMs => {
      advance(wallMs)
      return [...history, ...[...current.values()].flatMap(kinds => [...kinds.values()])]
    }
  }
}
