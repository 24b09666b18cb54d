/**
 * Admission of requests by priority while a service has too little capacity.
 * This handles a burst of one or all kinds, callers that repeat refused requests
 * at once, lost capacity, and the load of another service.
 *
 * A node cannot know the load of the other nodes, but each request that it places
 * shows how long the search for a free slot takes. The share of the requests that
 * the node admits follows these searches: it falls while they use up much of the
 * time that the objective leaves, and rises while slots are found early. The
 * admitted share is divided by priority. A request that is not admitted is sent
 * if a slot is found at once, and is refused otherwise, while its caller still has
 * time for an alternative.
 */
import type { Random } from '@wisteriavalve/common'
import { createEarlyReturns } from './early-returns.js'
import type { Refused, RoutingState, Scarcity, ScarceRequest, Search, TargetState } from './types.js'
import { createWeightShares } from './weight-shares.js'

/** Increase of the admitted share for each search that finds a slot, relative to the decrease for one that does not. Sets the share of searches that fail. */
const MISS_SHARE_TARGET = 0.1
/** A node that has sent less counts as sending this many requests. */
const SENT_PER_MS_MIN = 0.7 / 1_000
/** Change of the admitted share after a failed search, for a node with one request in the window, and its maximum. */
const GAIN = 1.2
const GAIN_MAX = 0.3
/** With fewer arrivals in the window, as on a node that has just started, rates are unknown. */
const ARRIVALS_MIN = 3
/** Without any report of at most this age, requests are placed as without pressure. */
const REPORT_AGE_MAX_MS = 1_000
/** Mean reported occupancy from which a target without a recent report is taken to be full too. */
const FULL_OCCUPANCY = 0.8
/** Mean reported occupancy that shows pressure by itself. */
const SATURATED_OCCUPANCY = 0.9
/** Probes between two waits of a request that has more urgent ones beside it, which need the probe allowance more. */
const LESS_URGENT_PROBES_MAX = 2
/** A service counts as under pressure for this time after a search found no free target. */
const PRESSURE_MS = 5_000
/** The same as FULL_OCCUPANCY, while the service is under pressure. Searches end at the first free target, so the reports of a node show less than the mean. */
const PRESSED_OCCUPANCY = 0.5
/** A request waits for a slot only if the node is expected to find enough slots within this share of its waiting time. */
const QUEUE_SHARE = 0.8
/** Reserved slots relative to the arrivals of more urgent requests. Reserved slots are idle for a while: with a half, 2,055 requests were answered in time at two-slot targets, and 2,083 with none. */
const RESERVED_SHARE = 0.25
/** Share of its waiting time for which a request leaves slots to more urgent ones. */
const RESERVATION_SHARE = 0.5
/** Time that must be left for the request after its search, in units of the usual service time. */
const SERVICE_TIME_RESERVE = 1.15

const RETRY_AFTER_MIN_MS = 100
/** Interval of Retry-After without overload, and its growth with the ratio of refused to admitted requests. */
const RETRY_AFTER_SPREAD_MS = 500
const RETRY_AFTER_GROWTH = 4
/** A request that comes back within this time was repeated without a pause. Later ones may be equal requests of another caller on the same connection. */
const EARLY_RETURN_MS = 250
/** Callers are told to come back within this share of their remaining time. */
const REMAINING_TIME_SHARE = 1 / 3

const isReported = (state: TargetState, nowMs: number): boolean => nowMs - state.lastReportMs <= REPORT_AGE_MAX_MS

const occupancyOf = ({ inFlight, othersInFlight, slots }: TargetState): number => Math.min(1, (inFlight + othersInFlight) / slots)

/** Mean occupancy of the targets with a report of the last second; undefined without any. */
export const meanOccupancy = (candidates: readonly TargetState[], nowMs: number): number | undefined => {
  let sum = 0
  let count = 0
  for (const state of candidates) {
    if (!isReported(state, nowMs)) continue
    sum += occupancyOf(state)
    count++
  }
  return count === 0 ? undefined : sum / count
}

/** Whether most slots of the targets with a report of the last second are taken. */
const isMostlyFull = (candidates: readonly TargetState[], occupancyMin: number, nowMs: number): boolean => (meanOccupancy(candidates, nowMs) ?? 0) >= occupancyMin

/**
 * Time after which a refused caller should come back. The interval grows with the
 * overload, which spreads the callers that are refused at the same time.
 * @param admittedShare share of the requests that can be served
 * @param remainingMs remaining time of the caller
 * @param spread random number from 0 to 1
 */
export const spreadRetryAfterMs = (admittedShare: number, remainingMs: number, spread: number): number => {
  const overload = Math.max(0, 1 / admittedShare - 1)
  const lastMs = Math.min(RETRY_AFTER_MIN_MS + RETRY_AFTER_SPREAD_MS * (1 + RETRY_AFTER_GROWTH * overload), REMAINING_TIME_SHARE * remainingMs)
  const firstMs = Math.min(RETRY_AFTER_MIN_MS, lastMs / 2)
  return Math.max(0, firstMs + spread * (lastMs - firstMs))
}

export const createScarcity = (): Scarcity => {
  const shares = createWeightShares()
  const early = createEarlyReturns()
  const refusals = new Map<number, number>()
  /** Admitted requests of each weight that are due; a request is admitted when it reaches 1. */
  const credits = new Map<number, number>()
  const waiting = new Set<ScarceRequest>()
  /** Latest share of all requests to admit. */
  let meanShare = 1
  /** Time of the last search that found no free target while most slots were taken. */
  let pressedMs = -Infinity

  const isPressed = (nowMs: number): boolean => nowMs - pressedMs <= PRESSURE_MS

  /** A node with many requests learns from each of them less than one with few. */
  const adjust = (weight: number, change: number, nowMs: number): void => {
    shares.adjust(weight, change * Math.min(GAIN_MAX, GAIN / Math.max(1, shares.total(nowMs))))
    meanShare = shares.meanShare(nowMs)
  }

  const isAdmitted = ({ weight }: ScarceRequest, nowMs: number, random: Random): boolean => {
    const share = !isPressed(nowMs) || shares.total(nowMs) < ARRIVALS_MIN ? 1 : shares.admittedShare(weight, nowMs)
    if (share >= 1) return true
    const credit = (credits.get(weight) ?? random.next()) + share
    credits.set(weight, credit >= 1 ? credit - 1 : credit)
    return credit >= 1
  }

  const isQueueTooLong = (request: ScarceRequest, nowMs: number): boolean => {
    let aheadCount = 0
    for (const { weight } of waiting) if (weight >= request.weight) aheadCount++
    const spareMs = Math.min(request.objectiveEndMs, request.deadlineMs) - nowMs - SERVICE_TIME_RESERVE * request.serviceTimeMs
    return aheadCount + 1 > QUEUE_SHARE * Math.max(SENT_PER_MS_MIN, shares.sentPerMs(nowMs)) * spareMs
  }

  const countRefusal = (weight: number): void => { refusals.set(weight, (refusals.get(weight) ?? 0) + 1) }

  const describe = (request: ScarceRequest, routing: RoutingState, reservedShare: number, nowMs: number): string => {
    const occupancy = meanOccupancy(routing.candidates, nowMs)
    return `weight ${request.weight}; ${occupancy === undefined ? 'no recent report' : `${Math.round(100 * occupancy)}% of the reported slots are taken`}; ` +
      `${Math.round(100 * reservedShare)}% of the slots are reserved for more urgent requests; ` +
      `${Math.round(100 * meanShare)}% of the requests are admitted; arrivals ${shares.describe(nowMs)}`
  }

  const createSearch = (request: ScarceRequest, routing: RoutingState, isThrottled: boolean, random: Random, startedMs: number): Search => {
    const spareMs = Math.max(1, Math.min(request.objectiveEndMs, request.deadlineMs) - startedMs - SERVICE_TIME_RESERVE * request.serviceTimeMs)
    const reservationEndMs = startedMs + RESERVATION_SHARE * spareMs
    let hasEnded = false
    let hasYielded = false
    let hasWaited = false

    const reservedShare = (nowMs: number): number =>
      !isPressed(nowMs) || shares.total(nowMs) < ARRIVALS_MIN || (!isThrottled && nowMs >= reservationEndMs) ? 0 : RESERVED_SHARE * shares.moreUrgentShare(request.weight, nowMs)

    const end = (): void => {
      hasEnded = true
      waiting.delete(request)
    }

    return {
      limits: nowMs => {
        const share = reservedShare(nowMs)
        const needsReport = isMostlyFull(routing.candidates, isPressed(nowMs) ? PRESSED_OCCUPANCY : FULL_OCCUPANCY, nowMs)
        const canWait = !isThrottled && (hasWaited || !(needsReport || isPressed(nowMs)) || !isQueueTooLong(request, nowMs))
        const isLessUrgent = isPressed(nowMs) && shares.moreUrgentShare(request.weight, nowMs) > 0
        const probesMax = isThrottled ? 0 : isLessUrgent ? LESS_URGENT_PROBES_MAX : Infinity
        return { reservedShare: share, isThrottled, probesMax, needsReport, canWait }
      },
      recordWait: nowMs => {
        if (hasEnded) return
        if (isMostlyFull(routing.candidates, FULL_OCCUPANCY, nowMs)) pressedMs = nowMs
        waiting.add(request)
        hasYielded = false
        hasWaited = true
      },
      yieldToMoreUrgent: () => {
        if (hasYielded) return false
        hasYielded = true
        let first: ScarceRequest | undefined
        for (const other of waiting) if (other.weight > (first ?? request).weight) first = other
        if (!first) return false
        waiting.delete(first)
        first.resume()
        return true
      },
      recordSent: nowMs => {
        if (hasEnded) return
        end()
        shares.recordSent(request.weight, 1, nowMs)
        const isLate = nowMs + request.serviceTimeMs > request.objectiveEndMs
        adjust(request.weight, isLate ? -1 : MISS_SHARE_TARGET, nowMs)
      },
      refuse: (refusal, nowMs) => {
        if (!hasEnded && !isThrottled) {
          adjust(request.weight, -1, nowMs)
          pressedMs = nowMs
        }
        const detail = describe(request, routing, reservedShare(nowMs), nowMs)
        end()
        countRefusal(request.weight)
        const retryAfterMs = spreadRetryAfterMs(meanShare, request.deadlineMs - nowMs, random.next())
        const identity = request.identity()
        if (identity !== undefined) early.recordRefused(identity, nowMs + Math.min(EARLY_RETURN_MS, retryAfterMs))
        return { ...refusal, retryAfterMs, detail }
      },
      end
    }
  }

  const refuseEarly = (request: ScarceRequest, random: Random, nowMs: number): Refused => {
    countRefusal(request.weight)
    const retryAfterMs = spreadRetryAfterMs(meanShare, request.deadlineMs - nowMs, random.next())
    return { step: 'refuse', cause: 'late', retryAfterMs, detail: `weight ${request.weight}; the request was repeated at once after its refusal` }
  }

  return {
    begin: (request, routing, nowMs, random) => {
      if (!early.isEmpty(nowMs)) {
        const identity = request.identity()
        if (identity !== undefined && early.has(identity, nowMs)) return refuseEarly(request, random, nowMs)
      }
      shares.recordArrival(request.weight, nowMs)
      if (isMostlyFull(routing.candidates, SATURATED_OCCUPANCY, nowMs)) pressedMs = nowMs
      if (isPressed(nowMs)) shares.giveWay(request.weight)
      const hasReports = meanOccupancy(routing.candidates, nowMs) !== undefined
      const isThrottled = hasReports && !isAdmitted(request, nowMs, random)
      return createSearch(request, routing, isThrottled, random, nowMs)
    },
    recordTaken: (weight, nowMs) => shares.recordSent(weight, -1, nowMs),
    pressure: nowMs => isPressed(nowMs) ? 1 - meanShare : 0,
    refusals: () => refusals
  }
}
