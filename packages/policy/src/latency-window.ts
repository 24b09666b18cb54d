/**
 * Quantiles over the latest latencies. Samples are sorted only when a quantile is
 * read and enough new samples were added since the last sort, which keeps adding
 * a sample cheap.
 */
import type { LatencyWindow } from './types.js'

/**
 * @param size number of samples that are kept
 * @param sampleCountMin number of samples below which a quantile would be unreliable
 */
export const createLatencyWindow = (size: number, sampleCountMin: number): LatencyWindow => {
  const samples = new Float64Array(size)
  let sorted = new Float64Array(0)
  let sampleCount = 0
  let unsortedCount = Infinity

  const add = (latencyMs: number): void => {
    samples[sampleCount % size] = latencyMs
    sampleCount++
    unsortedCount++
  }

  const quantile = (share: number): number | undefined => {
    if (sampleCount < sampleCountMin) return undefined
    if (unsortedCount > size / 16) {
      sorted = samples.slice(0, Math.min(sampleCount, size)).sort()
      unsortedCount = 0
    }
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
  }

  return { add, quantile, count: () => sampleCount }
}
