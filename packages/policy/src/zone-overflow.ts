/**
 * Decides when a request leaves the availability zone of its node, and limits how
 * many do. Traffic between zones is slower and is paid for by the byte, so a
 * request leaves only when no target of its zone is free and fast, and either it
 * would miss its objective there or the time that it saves is worth more than the
 * round trip and the bytes.
 *
 * The limit is a share of the requests of the service on this node. It follows the
 * demand in bounded steps, with a margin between raising and lowering it, and
 * decreases while other zones have nothing free. This answers traffic peaks that
 * alternate between zones: the nodes of a zone decide independently on reports up
 * to 100 ms old, and without the limit all of them would move their load to the
 * same free zone within one report interval, and back again.
 */
import type { ZoneCrossing } from './types/placement.js'

/** Least time between two changes of the share. Reports are up to this old. */
const INTERVAL_MS = 100
/** Least number of requests between two changes; fewer say little about the demand. */
const INTERVAL_REQUESTS_MIN = 4
/** Largest change of the share in one interval. */
export const SHARE_STEP = 0.1
/** Share before the first interval: a node may be started during a peak. */
const SHARE_INITIAL = 0.5
/** Always allowed, so the node learns when other zones become free. */
const SHARE_MIN = 0.05
/**
 * The share is raised when it exceeds the demand by less than this, and lowered
 * when it exceeds it by more than the second figure. Without room above the demand,
 * fewer requests met their objective in simulated peaks.
 */
const HEADROOM_MIN = 0.1
const HEADROOM_MAX = 0.3
/** Weight of an interval in the moving average of the demand. */
const DEMAND_WEIGHT = 0.4
/** Above this part of the requests that found nothing free in other zones, those count as full. */
const NONE_FREE_SHARE_MAX = 0.2
/** Requests that may leave in a burst. */
const TOKENS_MAX = 3
/** Requests beyond the share that may leave because they would otherwise miss their objective. */
const OVERDRAFT = 4
const BYTES_PER_KB = 1_000

/** Why a request leaves its zone. */
export type LeaveCause = 'misses-objective' | 'saves-time'

/** How the placement of a request ended: stayed, left, was kept by the share, or found nothing free in other zones. */
export type OverflowOutcome = 'stayed' | 'left' | 'limited' | 'none-free'

export type ZoneOverflow = {
  /** Whether the share allows one more request to leave. */
  mayLeave: (cause: LeaveCause) => boolean
  /** To be called once for each placement. */
  record: (outcome: OverflowOutcome, nowMs: number) => void
  share: () => number
}

/** Time that the bytes of a request between zones are worth. */
export const byteCostMs = ({ bytes, msPerKb }: Pick<ZoneCrossing, 'bytes' | 'msPerKb'>): number => bytes / BYTES_PER_KB * msPerKb

export type LeaveEstimate = {
  /** Expected time until the response in the own zone. */
  homeMs: number
  /** The same for a free target of another zone, without the way there. */
  awayMs: number
  roundTripMs: number
  /** Time that the bytes are worth. */
  bytesMs: number
  /** Time until the objective and the deadline. */
  remainingMs: number
  /** Margin of the objective that is left for finding a free target in another zone. */
  reserveMs: number
}

/** Why a request should leave its zone; undefined if it should stay. */
export const findLeaveCause = ({ homeMs, awayMs, roundTripMs, bytesMs, remainingMs, reserveMs }: LeaveEstimate): LeaveCause | undefined => {
  if (homeMs + reserveMs > remainingMs && awayMs + roundTripMs <= remainingMs) return 'misses-objective'
  return homeMs - awayMs > roundTripMs + bytesMs ? 'saves-time' : undefined
}

/**
 * @param demand part of the requests that were to leave
 * @param noneFreeShare part of these that found nothing free in other zones
 */
export const nextShare = (share: number, demand: number, noneFreeShare: number): number => {
  if (noneFreeShare > NONE_FREE_SHARE_MAX || share - demand > HEADROOM_MAX) return Math.max(SHARE_MIN, share - SHARE_STEP)
  return share - demand < HEADROOM_MIN ? Math.min(1, share + SHARE_STEP) : share
}

export const createZoneOverflow = (): ZoneOverflow => {
  let share = SHARE_INITIAL
  let demand: number | undefined
  let tokens = TOKENS_MAX
  let startMs = -Infinity
  const counts = { requests: 0, wanted: 0, noneFree: 0 }

  const endInterval = (nowMs: number): void => {
    const observed = counts.wanted / counts.requests
    demand = demand === undefined ? observed : demand + DEMAND_WEIGHT * (observed - demand)
    share = nextShare(share, demand, counts.wanted === 0 ? 0 : counts.noneFree / counts.wanted)
    startMs = nowMs
    Object.assign(counts, { requests: 0, wanted: 0, noneFree: 0 })
  }

  return {
    mayLeave: cause => tokens >= (cause === 'misses-objective' ? 1 - OVERDRAFT : 1),
    record: (outcome, nowMs) => {
      counts.requests++
      if (outcome !== 'stayed') counts.wanted++
      if (outcome === 'none-free') counts.noneFree++
      tokens = Math.min(TOKENS_MAX, tokens + share) - (outcome === 'left' ? 1 : 0)
      if (nowMs - startMs >= INTERVAL_MS && counts.requests >= INTERVAL_REQUESTS_MIN) endInterval(nowMs)
    },
    share: () => share
  }
}
