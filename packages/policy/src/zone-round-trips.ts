/**
 * Round trip to the targets of each availability zone, learned from load probes.
 * A low quantile is used, since a busy target or a busy node delays some probes
 * without the network being slow.
 */
import { createLatencyWindow } from './latency-window.js'
import type { LatencyWindow } from './types.js'

const WINDOW_SIZE = 64
const SAMPLE_COUNT_MIN = 1
const QUANTILE = 0.25
/** Assumed before the first probe of a zone. */
const UNKNOWN_ROUND_TRIP_MS = 5

export type ZoneRoundTrips = {
  record: (zone: string, roundTripMs: number) => void
  usualMs: (zone: string) => number
}

export const createZoneRoundTrips = (): ZoneRoundTrips => {
  const windows = new Map<string, LatencyWindow>()
  return {
    record: (zone, roundTripMs) => {
      let window = windows.get(zone)
      if (!window) windows.set(zone, window = createLatencyWindow(WINDOW_SIZE, SAMPLE_COUNT_MIN))
      window.add(roundTripMs)
    },
    usualMs: zone => windows.get(zone)?.quantile(QUANTILE) ?? UNKNOWN_ROUND_TRIP_MS
  }
}
