/**
 * Usual size of the response body of each kind of request, learned from complete
 * responses. It is the part of the cost of a request between zones that is not
 * known before the request is sent. The estimate is a quantile, so a few very
 * large responses of a kind do not keep its other requests in their zone.
 */
import { createLatencyWindow } from './latency-window.js'
import type { LatencyWindow } from './types.js'

const WINDOW_SIZE = 128
const SAMPLE_COUNT_MIN = 5
const QUANTILE = 0.6
/** Assumed with too few samples: a small document. */
const UNKNOWN_SIZE_BYTES = 2_048

export type ResponseSizes = {
  record: (kind: string, sizeBytes: number) => void
  usualBytes: (kind: string) => number
}

export const createResponseSizes = (): ResponseSizes => {
  const windows = new Map<string, LatencyWindow>()
  return {
    record: (kind, sizeBytes) => {
      let window = windows.get(kind)
      if (!window) windows.set(kind, window = createLatencyWindow(WINDOW_SIZE, SAMPLE_COUNT_MIN))
      window.add(sizeBytes)
    },
    usualBytes: kind => windows.get(kind)?.quantile(QUANTILE) ?? UNKNOWN_SIZE_BYTES
  }
}
