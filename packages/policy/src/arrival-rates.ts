/**
 * Rates of the admitted requests by weight class. A request that waits behind
 * heavier classes also waits for what they send meanwhile.
 */
import { halfLifeWeight } from './half-life.js'

type ClassRate = { weight: number, count: number, countMs: number }

const HALF_LIFE_MS = 500
/** Decayed counts correspond to this time of a constant rate. */
const WINDOW_MS = HALF_LIFE_MS / Math.LN2

export const createArrivalRates = () => {
  const classes: ClassRate[] = []

  const countAt = (entry: ClassRate, nowMs: number): number =>
    entry.count * halfLifeWeight(nowMs - entry.countMs, HALF_LIFE_MS)

  return {
    note: (weight: number, nowMs: number): void => {
      let entry = classes.find(other => other.weight === weight)
      if (!entry) {
        entry = { weight, count: 0, countMs: nowMs }
        classes.push(entry)
      }
      entry.count = countAt(entry, nowMs) + 1
      entry.countMs = nowMs
    },
    heavierPerMs: (weight: number, nowMs: number): number => {
      let sum = 0
      for (const entry of classes) if (entry.weight > weight) sum += countAt(entry, nowMs)
      return sum / WINDOW_MS
    }
  }
}
