/**
 * System clock and manual clock. Decision logic receives a clock or a time in
 * ms and never reads the system time itself. This lets tests control time.
 */
import { performance } from 'node:perf_hooks'
import type { Cancel, Clock, ManualClock } from './types.js'

/** Clock based on the monotonic time of the process, which also advances while the process is suspended. */
export const createSystemClock = (): Clock => ({
  nowMs: () => performance.now(),
  after: (delayMs, run) => {
    const timer = setTimeout(run, delayMs)
    return () => clearTimeout(timer)
  }
})

type ScheduledCall = { dueMs: number, order: number, run: () => void }

const findEarliestCall = (calls: Iterable<ScheduledCall>): ScheduledCall | undefined => {
  let first: ScheduledCall | undefined
  for (const call of calls) {
    if (!first || call.dueMs < first.dueMs || (call.dueMs === first.dueMs && call.order < first.order)) first = call
  }
  return first
}

export const createManualClock = (startMs = 0): ManualClock => {
  let timeMs = startMs
  let scheduledCount = 0
  const calls = new Set<ScheduledCall>()

  const after = (delayMs: number, run: () => void): Cancel => {
    const call = { dueMs: timeMs + Math.max(0, delayMs), order: scheduledCount++, run }
    calls.add(call)
    return () => { calls.delete(call) }
  }

  const advance = (durationMs: number): void => {
    const endMs = timeMs + durationMs
    for (let call = findEarliestCall(calls); call && call.dueMs <= endMs; call = findEarliestCall(calls)) {
      calls.delete(call)
      timeMs = call.dueMs
      call.run()
    }
    timeMs = endMs
  }

  return { nowMs: () => timeMs, after, advance }
}

/** A timer can fire a little early; its next turn is then a whole interval later. */
const EARLY_SHARE = 0.25

/**
 * Delay in ms until the next multiple of the interval. Periodic work with
 * different intervals then falls on the same moments, and the process wakes up
 * once for all of it.
 */
export const alignedDelayMs = (nowMs: number, intervalMs: number): number => {
  const delayMs = intervalMs - nowMs % intervalMs
  return delayMs < EARLY_SHARE * intervalMs ? delayMs + intervalMs : delayMs
}
