/**
 * Limits how often a node sends news at once instead of with the next ping, so
 * that a flood of news stays within the bandwidth of control traffic.
 */
import { BURST_DEPTH, BURST_INTERVAL_MS, BURST_REFILL_PER_S } from './constants.js'

export type BurstLimit = {
  request: () => void
  /** Whether a requested burst may be sent now; takes it. */
  take: (nowMs: number) => boolean
  clear: () => void
}

export const createBurstLimit = (startMs = 0): BurstLimit => {
  let isRequested = false
  let tokens = BURST_DEPTH
  let updatedMs = startMs
  let lastMs = -Infinity
  const take = (nowMs: number): boolean => {
    tokens = Math.min(BURST_DEPTH, tokens + Math.max(0, nowMs - updatedMs) / 1000 * BURST_REFILL_PER_S)
    updatedMs = nowMs
    if (!isRequested || tokens < 1 || nowMs - lastMs < BURST_INTERVAL_MS) return false
    tokens--
    lastMs = nowMs
    isRequested = false
    return true
  }
  return { request: () => { isRequested = true }, take, clear: () => { isRequested = false } }
}
