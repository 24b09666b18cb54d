/**
 * Issues permits for requests to targets that limit the requests of all nodes
 * together. For each target one node, the permit owner, issues the permits, so
 * the limit holds whatever the number of nodes and however their load differs.
 * The owner applies the generic cell rate algorithm (ITU-T I.371): each permit
 * moves the time of the next one by the interval of the limit, and an asker that
 * can wait long enough gets a permit for a later time.
 *
 * A node that becomes the owner issues no permit for the time of one interval,
 * because it does not know what the previous owner issued.
 */
import { LRUCache } from 'lru-cache'
import type { LimitStatement, Random } from '@wisteriavalve/common'

export type PermitQuery = {
  service: string
  targetId: string
  nodeId: string
  statement: LimitStatement
  /** How long the request of the asker can wait. */
  waitMaxMs: number
  /** Requests per second that the target accepts while it is cold; present in queries for a warm-up permit. */
  warmupRatePerS?: number
}

/** The newest statement of the limit that the owner knows comes with each answer. */
export type PermitAnswer =
  /** isWarmup: the permit is a warm-up permit. Absent in answers of older nodes, which know none. */
  | { decision: 'granted', delayMs: number, isWarmup?: true, statement: LimitStatement }
  | {
    decision: 'denied'
    /** Time until the turn of the asker. */
    retryAfterMs: number
    /** Time after which the asker asks before its turn, to learn whether the limit has ended; absent in answers of older nodes. */
    askAgainMs?: number
    statement: LimitStatement
  }
  /** The target has no limit any more. */
  | { decision: 'unlimited', statement: LimitStatement }

export type PermitIssuer = {
  /** @param share part of the limit that this owner issues, from 0 to 1 */
  issue: (query: PermitQuery, share: number, nowMs: number) => PermitAnswer
}

type Ledger = {
  limitPerS: number | null
  observedMs: number
  /** Time of the next permit if none is saved. */
  nextPermitMs: number
  /** Time of the last query of each node. */
  askedMs: Map<string, number>
}

const LEDGERS_MAX = 20_000
/** Unused permits of this time may be used at once. */
const BURST_MS = 500
/**
 * One request in this time is permitted even if the limit is lower, because only
 * a response shows that a target does not state its limit any more.
 */
const TRIAL_INTERVAL_MS = 2_500
/** Nodes that asked within this time compete for the next permit. */
const COMPETITION_MS = 3_000
/** Queries that competing nodes should send for each permit. With fewer, permits would wait for a query. */
const QUERIES_PER_PERMIT = 3
/** Upper bound of the time by which the next queries of competing nodes are spread. */
const SPREAD_MAX_MS = 2_500
/** Time within which all nodes must learn that a limit has ended, from a permitted request and their next query. */
const END_KNOWN_MS = 3_500
const ASK_AGAIN_MIN_MS = 1_000
/** For a node that may not issue permits yet. */
const SHARELESS_RETRY_AFTER_MS = 250

const keyOf = ({ service, targetId }: PermitQuery): string => `${service}/${targetId}`

const intervalMs = (limitPerS: number, share: number): number => Math.min(1_000 / limitPerS, TRIAL_INTERVAL_MS) / share

const learn = (ledger: Ledger, { limitPerS, ageMs }: LimitStatement, nowMs: number): void => {
  if (nowMs - ageMs <= ledger.observedMs) return
  ledger.limitPerS = limitPerS
  ledger.observedMs = nowMs - ageMs
}

const countCompetitors = ({ askedMs }: Ledger, nowMs: number): number => {
  for (const [nodeId, atMs] of askedMs) if (nowMs - atMs > COMPETITION_MS) askedMs.delete(nodeId)
  return askedMs.size
}

export const createPermitIssuer = (random: Random): PermitIssuer => {
  const ledgers = new LRUCache<string, Ledger>({ max: LEDGERS_MAX })

  const openLedger = (query: PermitQuery, share: number, nowMs: number): Ledger => {
    const ledger: Ledger = { limitPerS: null, observedMs: -Infinity, nextPermitMs: -Infinity, askedMs: new Map() }
    learn(ledger, query.statement, nowMs)
    ledger.nextPermitMs = nowMs + (ledger.limitPerS === null ? 0 : intervalMs(ledger.limitPerS, share))
    ledgers.set(keyOf(query), ledger)
    return ledger
  }

  /**
   * The more nodes compete, the later each of them asks again, so the load of the
   * owner grows more slowly than the fleet. Askers that come back at the same
   * moment would all be denied but one.
   */
  const retryAfterMs = (ledger: Ledger, delayMs: number, permitIntervalMs: number, nowMs: number): number => {
    const meanMs = countCompetitors(ledger, nowMs) * permitIntervalMs / QUERIES_PER_PERMIT
    const spreadMs = Math.min(SPREAD_MAX_MS, 1.5 * meanMs)
    return Math.max(1, delayMs) + spreadMs * (1 + 2 * random.next()) / 3
  }

  const deny = (ledger: Ledger, delayMs: number, permitIntervalMs: number, statement: LimitStatement, nowMs: number): PermitAnswer => ({
    decision: 'denied',
    retryAfterMs: retryAfterMs(ledger, delayMs, permitIntervalMs, nowMs),
    askAgainMs: Math.max(ASK_AGAIN_MIN_MS, END_KNOWN_MS - permitIntervalMs),
    statement
  })

  return {
    issue: (query, share, nowMs) => {
      if (share <= 0) return { decision: 'denied', retryAfterMs: SHARELESS_RETRY_AFTER_MS, statement: query.statement }
      const ledger = ledgers.get(keyOf(query)) ?? openLedger(query, share, nowMs)
      learn(ledger, query.statement, nowMs)
      const { limitPerS } = ledger
      const statement = { limitPerS, ageMs: Math.max(0, nowMs - ledger.observedMs) }
      if (limitPerS === null) return { decision: 'unlimited', statement }
      ledger.askedMs.set(query.nodeId, nowMs)
      const permitIntervalMs = intervalMs(limitPerS, share)
      const delayMs = Math.max(0, ledger.nextPermitMs - Math.max(0, BURST_MS - permitIntervalMs) - nowMs)
      if (delayMs > query.waitMaxMs) return deny(ledger, delayMs, permitIntervalMs, statement, nowMs)
      ledger.nextPermitMs = Math.max(ledger.nextPermitMs, nowMs) + permitIntervalMs
      return { decision: 'granted', delayMs, statement }
    }
  }
}
