/**
 * The clocks. Decision logic is given a clock or a time in ms and never asks
 * the system itself, so that tests control time.
 */
import { performance } from 'node:perf_hooks'
import type { Cancel, Clock, ManualClock } from './types.js'

/** Clock on the process's monotonic time, which keeps counting while the process is stopped. */
export const createSystemClock = (): Clock => ({
  nowMs: () => performance.now(),
  after: (delayMs, run) => {
    const timer = setTimeout(run, delayMs)
    return () => clearTimeout(timer)
  }
})

type Scheduled = { dueMs: number, order: number, run: () => void }

const earliest = (calls: Iterable<Scheduled>): Scheduled | undefined => {
  let first: Scheduled | undefined
  for (const call of calls) {
    if (!first || call.dueMs < first.dueMs || (call.dueMs === first.dueMs && call.order < first.order)) first = call
  }
  return first
}

export const createManualClock = (startMs = 0): ManualClock => {
  let timeMs = startMs
  let scheduledCount = 0
  const calls = new Set<Scheduled>()

  const after = (delayMs: number, run: () => void): Cancel => {
    const call = { dueMs: timeMs + Math.max(0, delayMs), order: scheduledCount++, run }
    calls.add(call)
    return () => { calls.delete(call) }
  }

  const advance = (durationMs: number): void => {
    const endMs = timeMs + durationMs
    for (let call = earliest(calls); call && call.dueMs <= endMs; call = earliest(calls)) {
      calls.delete(call)
      timeMs = call.dueMs
      call.run()
    }
    timeMs = endMs
  }

  return { nowMs: () => timeMs, after, advance }
}
