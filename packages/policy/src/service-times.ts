/**
 * Usual service time of each kind of request on an idle target at its usual
 * speed. The duration of each response is divided by the slowdown that the
 * target reported. The estimate is a quantile well below the tail, which
 * excludes requests that waited for a slot.
 */
import { createLatencyWindow } from './latency-window.js'
import type { LatencyWindow } from './types.js'

const WINDOW_SIZE = 128
const SAMPLE_COUNT_MIN = 5
/** Above the median: with the median, half of the requests would take longer than planned. */
const QUANTILE = 0.6
/** With too few samples, the service time is assumed to be this share of the objective. */
const OBJECTIVE_SHARE = 0.4

export type ServiceTimes = {
  record: (kind: string, durationMs: number, slowdown: number) => void
  /** @param objectiveMs latency objective of the kind, used while there are too few samples */
  usualMs: (kind: string, objectiveMs: number) => number
}

export const createServiceTimes = (): ServiceTimes => {
  const windows = new Map<string, LatencyWindow>()
  return {
    record: (kind, durationMs, slowdown) => {
      let window = windows.get(kind)
      if (!window) windows.set(kind, window = createLatencyWindow(WINDOW_SIZE, SAMPLE_COUNT_MIN))
      window.add(durationMs / Math.max(1, slowdown))
    },
    usualMs: (kind, objectiveMs) => windows.get(kind)?.quantile(QUANTILE) ?? OBJECTIVE_SHARE * objectiveMs
  }
}
