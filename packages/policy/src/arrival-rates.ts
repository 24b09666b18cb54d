/**
 * Arrival rates of admitted requests by weight class. A request that waits behind
 * heavier classes also waits for their requests that arrive during its wait.
 */
import { halfLifeWeight } from './half-life.js'

type ClassRate = { weight: number, count: number, updatedMs: number }

const HALF_LIFE_MS = 500
/** At a constant rate, the decayed count equals the arrivals within this time. */
const WINDOW_MS = HALF_LIFE_MS / Math.LN2

export const createArrivalRates = () => {
  const classes: ClassRate[] = []

  const countAt = (entry: ClassRate, nowMs: number): number =>
    entry.count * halfLifeWeight(nowMs - entry.updatedMs, HALF_LIFE_MS)

  return {
    record: (weight: number, nowMs: number): void => {
      let entry = classes.find(other => other.weight === weight)
      if (!entry) {
        entry = { weight, count: 0, updatedMs: nowMs }
        classes.push(entry)
      }
      entry.count = countAt(entry, nowMs) + 1
      entry.updatedMs = nowMs
    },
    heavierPerMs: (weight: number, nowMs: number): number => {
      let sum = 0
      for (const entry of classes) if (entry.weight > weight) sum += countAt(entry, nowMs)
      return sum / WINDOW_MS
    }
  }
}
