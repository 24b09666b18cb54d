/**
 * Limits how often a node sends urgent updates immediately instead of with the
 * next ping, which keeps a flood of updates within the bandwidth for control
 * traffic.
 */
import { BURST_TOKENS_MAX, BURST_INTERVAL_MS, BURST_REFILL_PER_S } from './constants.js'

export type BurstLimit = {
  request: () => void
  /** Returns whether a requested burst may be sent now, and consumes the request and a token if so. */
  take: (nowMs: number) => boolean
  clear: () => void
}

export const createBurstLimit = (startMs = 0): BurstLimit => {
  let isRequested = false
  let tokens = BURST_TOKENS_MAX
  let updatedMs = startMs
  let lastMs = -Infinity
  const take = (nowMs: number): boolean => {
    tokens = Math.min(BURST_TOKENS_MAX, tokens + Math.max(0, nowMs - updatedMs) / 1000 * BURST_REFILL_PER_S)
    updatedMs = nowMs
    if (!isRequested || tokens < 1 || nowMs - lastMs < BURST_INTERVAL_MS) return false
    tokens--
    lastMs = nowMs
    isRequested = false
    return true
  }
  return { request: () => { isRequested = true }, take, clear: () => { isRequested = false } }
}
