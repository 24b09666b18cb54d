/**
 * Decides whether this node is cut off from all targets, although callers and
 * peers still reach it. The sign is a series of failures at several targets
 * without any success between them. A target that fails alone, or a service that
 * is down while others answer, gives no such series. If all targets are down, the
 * decision is wrong but harmless: peers that are in the same position say so, and
 * the request is then handled as usual.
 */

export type Reachability = {
  recordSuccess: () => void
  recordFailure: (targetId: string, nowMs: number) => void
  /** Whether nothing has succeeded for so long that the targets are taken for unreachable. */
  isLost: (nowMs: number) => boolean
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
const TRIAL_INTERVAL_MS = 250

/** @param targetCount number of targets that this node knows */
export const createReachability = (targetCount: () => number): Reachability => {
  const failedIds = new Set<string>()
  let failureCount = 0
  let firstFailureMs = 0
  let lastFailureMs = -Infinity
  let lastTrialMs = -Infinity

  const clear = (): void => {
    failedIds.clear()
    failureCount = 0
  }

  return {
    recordSuccess: () => { if (failureCount > 0) clear() },
    recordFailure: (targetId, nowMs) => {
      if (nowMs - lastFailureMs > FORGET_MS) clear()
      if (failureCount === 0) firstFailureMs = nowMs
      lastFailureMs = nowMs
      failureCount++
      failedIds.add(targetId)
    },
    isLost: nowMs => failureCount >= FAILURES_MIN && failedIds.size >= Math.min(FAILED_TARGETS_MIN, targetCount()) &&
      nowMs - firstFailureMs >= SERIES_MS_MIN && nowMs - lastFailureMs <= FORGET_MS,
    takeTrial: nowMs => {
      if (nowMs - lastTrialMs < TRIAL_INTERVAL_MS) return false
      lastTrialMs = nowMs
      return true
    }
  }
}
