/**
 * Usual time that work of a kind takes on an idle target at its usual speed.
 * Learned from answers: the time of each is divided by the slowdown that the
 * target reported, and a low quantile leaves out those that waited for a slot.
 */
import { createLatencyWindow } from './latency-window.js'
import type { LatencyWindow } from './types.js'

const WINDOW_SIZE = 128
const COUNT_MIN = 5
/** Above the median, so that half of the requests do not take longer than planned for. */
const QUANTILE = 0.6
/** Before the first answers, work is taken to be this share of the objective. */
const OBJECTIVE_SHARE = 0.4

export type WorkTimes = {
  note: (kind: string, durationMs: number, slowdown: number) => void
  /** @param objectiveMs of the kind, used before there are samples */
  usualMs: (kind: string, objectiveMs: number) => number
}

export const createWorkTimes = (): WorkTimes => {
  const windows = new Map<string, LatencyWindow>()
  return {
    note: (kind, durationMs, slowdown) => {
      let window = windows.get(kind)
      if (!window) windows.set(kind, window = createLatencyWindow(WINDOW_SIZE, COUNT_MIN))
      window.add(durationMs / Math.max(1, slowdown))
    },
    usualMs: (kind, objectiveMs) => windows.get(kind)?.quantile(QUANTILE) ?? OBJECTIVE_SHARE * objectiveMs
  }
}
