/**
 * Types of the limits on callers.
 */

export type CallerLimitsOptions = {
  connectionsMax: number
  requestsPerS: number
  requestBurst: number
  /** Maximum number of tracked caller addresses. */
  callersMax: number
}

export type CallerLimits = {
  tryOpenConnection: (address: string) => boolean
  recordConnectionClosed: (address: string) => void
  tryRequest: (address: string, nowMs: number) => { ok: true } | { ok: false, retryAfterMs: number }
}
