/**
 * Division of a limited capacity among the kinds of a service. More urgent kinds
 * are served first, and each kind keeps a minimum share.
 */
import { halfLifeWeight } from './half-life.js'

/** At 2 requests per second and node, shorter windows contain too few requests of one weight. */
const HALF_LIFE_MS = 4_000
/** At a constant rate, the decayed count equals the arrivals within this time. */
const WINDOW_MS = HALF_LIFE_MS / Math.LN2
/** Minimum share of a kind, relative to the share of all requests. A quarter is required; the rest is for deviations among nodes. */
const MINIMUM_SHARE = 0.4

/** A share above 1 tolerates single slow searches without refusing requests. */
const SHARE_MAX = 1.15
const SHARE_MIN = 0.03
/** With few arrivals, a weight counts as served completely. */
const PRIOR_COUNT = 0.5
/** A less urgent weight gives way while the sent share of its requests is not lower than that of a more urgent one by this much, since a part of the requests that are sent is lost at full targets. */
const ORDER_MARGIN = 0.05
/** Requests that are still searching count as not sent, so the sent share is below 1 without pressure as well. */
const SENT_SHARE_USUAL = 0.9
/** Relative decrease of the admitted share with each arrival meanwhile. */
const ORDER_STEP = 0.1

type WeightClass = { weight: number, count: number, updatedMs: number, sentCount: number, share: number }

/** Arrivals by weight within a sliding window, and the share of each weight that is admitted. */
export type WeightShares = {
  recordArrival: (weight: number, nowMs: number) => void
  /** Records that requests were sent, or were sent in vain with a negative count. */
  recordSent: (weight: number, count: number, nowMs: number) => void
  /** Requests that were sent within one ms. */
  sentPerMs: (nowMs: number) => number
  /** Number of arrivals in the window. */
  total: (nowMs: number) => number
  /** Arrivals of more urgent requests as a share of all. */
  moreUrgentShare: (weight: number, nowMs: number) => number
  /** Lowers the admitted share of a weight of which more requests are sent than of a more urgent one. */
  giveWay: (weight: number) => void
  /** Changes the admitted share of a weight. A decrease also applies to less urgent requests, which give way first. */
  adjust: (weight: number, change: number) => void
  /** Share of the requests of a weight to admit. */
  admittedShare: (weight: number, nowMs: number) => number
  /** Share of all requests to admit. */
  meanShare: (nowMs: number) => number
  /** Arrival rates for the log, the most urgent first. */
  describe: (nowMs: number) => string
}

export const createWeightShares = (): WeightShares => {
  /** The most urgent first. */
  const classes: WeightClass[] = []

  const countAt = ({ count, updatedMs }: WeightClass, nowMs: number): number => count * halfLifeWeight(nowMs - updatedMs, HALF_LIFE_MS)
  const total = (nowMs: number): number => classes.reduce((sum, entry) => sum + countAt(entry, nowMs), 0)

  const decay = (entry: WeightClass, nowMs: number): void => {
    const factor = halfLifeWeight(nowMs - entry.updatedMs, HALF_LIFE_MS)
    entry.count *= factor
    entry.sentCount *= factor
    entry.updatedMs = nowMs
  }

  const sentShare = ({ count, sentCount }: WeightClass): number => (sentCount + PRIOR_COUNT) / (count + PRIOR_COUNT)

  /** A less urgent weight never has a larger share than a more urgent one. */
  const orderedShare = (weight: number): number => {
    let share = 1
    for (const entry of classes) {
      if (entry.weight >= weight) share = Math.min(share, entry.share)
    }
    return Math.max(SHARE_MIN, share)
  }

  const meanShare = (nowMs: number): number => {
    let admitted = 0
    for (const entry of classes) admitted += countAt(entry, nowMs) * orderedShare(entry.weight)
    return admitted === 0 ? 1 : admitted / total(nowMs)
  }

  return {
    recordArrival: (weight, nowMs) => {
      let entry = classes.find(other => other.weight === weight)
      if (!entry) {
        classes.push(entry = { weight, count: 0, updatedMs: nowMs, sentCount: 0, share: SHARE_MAX })
        classes.sort((a, b) => b.weight - a.weight)
      }
      decay(entry, nowMs)
      entry.count++
    },
    recordSent: (weight, count, nowMs) => {
      const entry = classes.find(other => other.weight === weight)
      if (!entry) return
      decay(entry, nowMs)
      entry.sentCount = Math.max(0, entry.sentCount + count)
    },
    sentPerMs: nowMs => classes.reduce((sum, entry) => sum + entry.sentCount * halfLifeWeight(nowMs - entry.updatedMs, HALF_LIFE_MS), 0) / WINDOW_MS,
    total,
    moreUrgentShare: (weight, nowMs) => {
      let moreUrgent = 0
      for (const entry of classes) if (entry.weight > weight) moreUrgent += countAt(entry, nowMs)
      return moreUrgent === 0 ? 0 : moreUrgent / total(nowMs)
    },
    giveWay: weight => {
      const own = classes.find(entry => entry.weight === weight)
      if (!own) return
      const ownSentShare = sentShare(own) + ORDER_MARGIN
      if (classes.some(entry => entry.weight > weight && sentShare(entry) < ownSentShare && sentShare(entry) < SENT_SHARE_USUAL)) own.share = Math.max(SHARE_MIN, Math.min(1, own.share) * (1 - ORDER_STEP))
    },
    adjust: (weight, change) => {
      for (const entry of classes) {
        if (entry.weight !== weight && (entry.weight > weight || change > 0)) continue
        entry.share = Math.min(SHARE_MAX, Math.max(SHARE_MIN, entry.share + change * Math.min(1, entry.share)))
      }
    },
    admittedShare: (weight, nowMs) => Math.max(orderedShare(weight), MINIMUM_SHARE * meanShare(nowMs)),
    meanShare,
    describe: nowMs => classes.map(entry => `${(1_000 * countAt(entry, nowMs) / WINDOW_MS).toFixed(1)}/s at weight ${entry.weight}`).join(', ')
  }
}
