/**
 * Decides whether this node is cut off from all targets, although callers and
 * peers still reach it. The sign is a series of failures at several targets
 * without any success between them. A target that fails alone, or a service that
 * is down while others answer, gives no such series. Nor do targets that are merely
 * late: while connections to them open, the network lets packets through in both
 * directions. A node that was cut off takes only a success for the end of it,
 * because a connection can open and carry nothing. If all targets are down, the
 * decision is wrong but harmless: peers that are in the same position say so, and
 * the request is then handled as usual.
 */

export type FailureSeries = {
  failureCount: number
  targetCount: number
  /** Time over which failures were seen, without times in which nothing was tried. */
  durationMs: number
}

export type Reachability = {
  recordSuccess: () => void
  /** A connection to a target has opened. It ends a series that is not yet taken for the loss of the targets. */
  recordContact: (nowMs: number) => void
  recordFailure: (targetId: string, nowMs: number) => void
  /** Whether nothing has succeeded for so long that the targets are taken for unreachable. */
  isLost: (nowMs: number) => boolean
  /** The series of failures so far. */
  series: (nowMs: number) => FailureSeries
  /** Whether a target is to be tried again; at most once in each interval. */
  takeTrial: (nowMs: number) => boolean
}

const FAILURES_MIN = 4
/** One target that fails says nothing about the others. */
const FAILED_TARGETS_MIN = 2
/** Failures within a shorter time can have one cause that is over, such as a pause of this process. */
const SERIES_MS_MIN = 250
/** A series ends if nothing was tried for this time. */
const FORGET_MS = 10_000
/** Nothing was tried in a longer time between two failures, which then does not count. */
const TRIED_GAP_MS_MAX = 1_000
const TRIAL_INTERVAL_MS = 250

/** @param targetCount number of targets that this node knows */
export const createReachability = (targetCount: () => number): Reachability => {
  const failedIds = new Set<string>()
  let failureCount = 0
  /** Duration of the series up to the last failure. */
  let triedMs = 0
  let lastFailureMs = -Infinity
  let lastTrialMs = -Infinity

  const clear = (): void => {
    failedIds.clear()
    failureCount = 0
    triedMs = 0
  }

  const durationMs = (nowMs: number): number => failureCount === 0 ? 0 : triedMs + Math.min(nowMs - lastFailureMs, TRIED_GAP_MS_MAX)

  const isLost = (nowMs: number): boolean =>
    failureCount >= FAILURES_MIN && failedIds.size >= Math.min(FAILED_TARGETS_MIN, targetCount()) &&
    durationMs(nowMs) >= SERIES_MS_MIN && nowMs - lastFailureMs <= FORGET_MS

  return {
    recordSuccess: () => { if (failureCount > 0) clear() },
    recordContact: nowMs => { if (failureCount > 0 && !isLost(nowMs)) clear() },
    recordFailure: (targetId, nowMs) => {
      if (nowMs - lastFailureMs > FORGET_MS) clear()
      const gapMs = nowMs - lastFailureMs
      if (failureCount > 0 && gapMs <= TRIED_GAP_MS_MAX) triedMs += gapMs
      lastFailureMs = nowMs
      failureCount++
      failedIds.add(targetId)
    },
    isLost,
    series: nowMs => ({ failureCount, targetCount: failedIds.size, durationMs: durationMs(nowMs) }),
    takeTrial: nowMs => {
      if (nowMs - lastTrialMs < TRIAL_INTERVAL_MS) return false
      lastTrialMs = nowMs
      return true
    }
  }
}
