/**
 * Issues permits for requests to cold targets. The permits are accounted apart
 * from those of stated request limits, and the query carries the rate, so the
 * owner need not know whether the target is cold.
 *
 * Permits are issued one interval apart (generic cell rate algorithm without a
 * tolerance), because unused ones must not add up to a burst. A node that becomes
 * the owner issues the first permit after one interval, because it does not know
 * what the previous owner issued. The bound of a target, 1.5 times its rate and a
 * few requests in any second, then holds while a substitute issues half of the
 * rate beside the owner.
 */
import { LRUCache } from 'lru-cache'
import type { Random } from '@wisteriavalve/common'
import type { PermitAnswer, PermitQuery } from './permit-issuer.js'

export type WarmupQuery = PermitQuery & { warmupRatePerS: number }

export type WarmupPermitIssuer = {
  /** @param share part of the rate that this owner issues, from 0 to 1 */
  issue: (query: WarmupQuery, share: number, nowMs: number) => PermitAnswer
}

export const isWarmupQuery = (query: PermitQuery): query is WarmupQuery => query.warmupRatePerS !== undefined

/** Whether the answer permits a request to a cold target. Owners of earlier releases ignore the rate, so their answers do not. */
export const isWarmupGrant = (answer: PermitAnswer): boolean => answer.decision === 'granted' && answer.isWarmup === true

type Ledger = {
  nextPermitMs: number
  /** Time of the last query of each node. */
  askedMs: Map<string, number>
}

const LEDGERS_MAX = 20_000
/** For a node that may not issue permits yet. */
const SHARELESS_RETRY_AFTER_MS = 250
/** Permits are not issued further ahead, because a later owner does not know of them. */
const AHEAD_MAX_MS = 1_000
/** Nodes that asked within this time compete for the next permit. */
const COMPETITION_MS = 1_000
/** Queries that competing nodes should send for each permit. */
const QUERIES_PER_PERMIT = 3
/** Upper bound of the time by which the next queries are spread; a warm-up takes a few seconds. */
const SPREAD_MAX_MS = 1_000

const countCompetitors = ({ askedMs }: Ledger, nowMs: number): number => {
  for (const [nodeId, atMs] of askedMs) if (nowMs - atMs > COMPETITION_MS) askedMs.delete(nodeId)
  return askedMs.size
}

export const createWarmupPermitIssuer = (random: Random): WarmupPermitIssuer => {
  const ledgers = new LRUCache<string, Ledger>({ max: LEDGERS_MAX })

  const openLedger = (key: string, nextPermitMs: number): Ledger => {
    const ledger = { nextPermitMs, askedMs: new Map<string, number>() }
    ledgers.set(key, ledger)
    return ledger
  }

  return {
    issue: ({ service, targetId, nodeId, statement, waitMaxMs, warmupRatePerS }, share, nowMs) => {
      if (share <= 0 || warmupRatePerS <= 0) return { decision: 'denied', retryAfterMs: SHARELESS_RETRY_AFTER_MS, statement }
      const key = `${service}/${targetId}`
      const intervalMs = 1_000 / warmupRatePerS / share
      const ledger = ledgers.get(key) ?? openLedger(key, nowMs + intervalMs)
      ledger.askedMs.set(nodeId, nowMs)
      const delayMs = Math.max(0, ledger.nextPermitMs - nowMs)
      if (delayMs > Math.min(waitMaxMs, AHEAD_MAX_MS)) {
        const spreadMs = Math.min(SPREAD_MAX_MS, countCompetitors(ledger, nowMs) * intervalMs / QUERIES_PER_PERMIT)
        return { decision: 'denied', retryAfterMs: Math.max(1, delayMs) + spreadMs * random.next(), statement }
      }
      ledger.nextPermitMs = nowMs + delayMs + intervalMs
      return { decision: 'granted', delayMs, isWarmup: true, statement }
    }
  }
}
