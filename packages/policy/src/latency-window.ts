/**
 * Quantiles over the latest latencies. Sorting is put off until a quantile is
 * asked for and repeated only after enough new samples, so that adding costs
 * next to nothing.
 */
import type { LatencyWindow } from './types.js'

/**
 * @param size samples that are kept
 * @param countMin samples below which a quantile would be a guess
 */
export const createLatencyWindow = (size: number, countMin: number): LatencyWindow => {
  const samples = new Float64Array(size)
  let sorted = new Float64Array(0)
  let count = 0
  let sinceSorted = Infinity

  const add = (latencyMs: number): void => {
    samples[count % size] = latencyMs
    count++
    sinceSorted++
  }

  const quantile = (share: number): number | undefined => {
    if (count < countMin) return undefined
    if (sinceSorted > size / 16) {
      sorted = samples.slice(0, Math.min(count, size)).sort()
      sinceSorted = 0
    }
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]
  }

  return { add, quantile, count: () => count }
}
