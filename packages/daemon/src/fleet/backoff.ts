/**
 * Exponential backoff with jitter. The bound doubles after each failure up to
 * a maximum, and the delay is drawn from its upper half. The jitter keeps nodes
 * from contacting a recovered service all at the same time.
 */
import type { Random } from '@wisteriavalve/common'

export type Backoff = { next: () => number, reset: () => void, failureCount: () => number }

export const createBackoff = (options: { firstMs: number, maxMs: number, random: Random }): Backoff => {
  let failureCount = 0
  const next = (): number => {
    const boundMs = Math.min(options.maxMs, options.firstMs * 2 ** Math.min(20, failureCount++))
    return boundMs / 2 + options.random.next() * boundMs / 2
  }
  return { next, reset: () => { failureCount = 0 }, failureCount: () => failureCount }
}
