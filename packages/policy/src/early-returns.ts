/**
 * Requests that come back immediately after they were refused. They are refused
 * again without a search and do not count as arrivals, so a caller that
 * repeats at once takes nothing from callers that wait.
 */

const REFUSALS_MAX = 1_024

export type EarlyReturns = {
  recordRefused: (identity: string, untilMs: number) => void
  /** Whether the request came back too early. */
  has: (identity: string, nowMs: number) => boolean
  isEmpty: (nowMs: number) => boolean
}

export const createEarlyReturns = (): EarlyReturns => {
  const untilMsByIdentity = new Map<string, number>()
  let latestMs = -Infinity
  return {
    recordRefused: (identity, untilMs) => {
      untilMsByIdentity.delete(identity)
      untilMsByIdentity.set(identity, untilMs)
      latestMs = Math.max(latestMs, untilMs)
      if (untilMsByIdentity.size > REFUSALS_MAX) untilMsByIdentity.delete(untilMsByIdentity.keys().next().value as string)
    },
    has: (identity, nowMs) => nowMs < (untilMsByIdentity.get(identity) ?? -Infinity),
    isEmpty: nowMs => {
      if (nowMs < latestMs) return false
      untilMsByIdentity.clear()
      return true
    }
  }
}
