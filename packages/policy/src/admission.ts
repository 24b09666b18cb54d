/**
 * Admission control for the requests of one service. Running requests are bounded
 * by the capacity. Other requests wait in a bounded queue, heaviest weight class
 * first, then earliest deadline. A request that cannot start in time is refused
 * at once, which leaves its caller time to use an alternative.
 */
import { createAdmissionQueue, type QueuedRequest } from './admission-queue.js'
import { createArrivalRates } from './arrival-rates.js'
import type { Admission, AdmissionOptions, AdmissionRequest, Refusal } from './types.js'

/** Weight of a new service time in the moving average. */
const SERVICE_TIME_WEIGHT = 0.05
const RETRY_AFTER_MIN_MS = 100
/**
 * Share of its spare time that a request may wait. With the full spare time, some
 * requests would start and narrowly miss their deadline, which wastes slots.
 */
const WAIT_SHARE = 0.5
/**
 * The wait is also limited to a number of service times. A longer queue does not
 * increase throughput, and a request that waits long behind heavier ones is often
 * refused in the end, too late for its caller to react. This is rarer the more
 * capacity the heavier classes leave, so the limit rises with the spare capacity.
 */
const WAIT_SERVICE_TIMES_MIN = 2
const WAIT_SERVICE_TIMES_MAX = 40

const waitServiceTimesMax = (spareShare: number): number =>
  WAIT_SERVICE_TIMES_MIN + (WAIT_SERVICE_TIMES_MAX - WAIT_SERVICE_TIMES_MIN) * spareShare ** 3

/**
 * A queued request is served ahead of heavier ones once the time to its deadline
 * falls to this many service times: for its caller, a late refusal is worse than
 * an immediate one.
 */
const URGENT_SERVICE_TIMES = 3

export const createAdmission = (options: AdmissionOptions): Admission => {
  const queue = createAdmissionQueue()
  const arrivals = createArrivalRates()
  let running = 0
  let serviceTimeMs = 0
  let isStarting = false

  const capacityAt = (nowMs: number): number => Math.max(0, options.capacity(nowMs))

  const refusal = (result: Refusal['result'], nowMs: number): Refusal => {
    const backlogMs = serviceTimeMs * queue.size() / Math.max(1, capacityAt(nowMs))
    return { result, retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, Math.ceil(backlogMs)) }
  }

  /** The estimated wait includes the expected arrivals of heavier classes, from their recent rates. */
  const canWait = (request: AdmissionRequest, aheadCount: number, nowMs: number): boolean => {
    if (serviceTimeMs === 0) return true
    const ratePerMs = capacityAt(nowMs) / serviceTimeMs
    const sparePerMs = ratePerMs - arrivals.heavierPerMs(request.weight, nowMs)
    if (sparePerMs <= 0) return false
    const waitMaxMs = waitServiceTimesMax(sparePerMs / ratePerMs) * serviceTimeMs
    const spareMs = request.deadlineMs - nowMs - serviceTimeMs
    return (aheadCount + 1) / sparePerMs <= Math.min(waitMaxMs, WAIT_SHARE * spareMs)
  }

  const refuse = ({ request }: QueuedRequest, result: Refusal['result'], nowMs: number): void =>
    request.refuse(refusal(result, nowMs))

  /** Callbacks may re-enter the admission, so only the outermost call starts requests. */
  const startNext = (nowMs: number): void => {
    if (isStarting) return
    isStarting = true
    try {
      while (queue.size() > 0 && running < capacityAt(nowMs)) {
        const entry = (queue.takeDue(nowMs + URGENT_SERVICE_TIMES * serviceTimeMs) ?? queue.takeFirst()) as QueuedRequest
        if (entry.request.deadlineMs <= nowMs) refuse(entry, 'deadline-passed-in-queue', nowMs)
        else {
          running++
          entry.request.run()
        }
      }
    } finally {
      isStarting = false
    }
  }

  const offer: Admission['offer'] = (request, nowMs) => {
    if (request.deadlineMs <= nowMs) return { decision: 'refused', refusal: refusal('deadline-unreachable', nowMs) }
    if (queue.size() === 0 && running < capacityAt(nowMs)) {
      arrivals.record(request.weight, nowMs)
      running++
      return { decision: 'run' }
    }
    const { entry, aheadCount } = queue.previewInsert(request)
    if (!canWait(request, aheadCount, nowMs)) return { decision: 'refused', refusal: refusal('deadline-unreachable', nowMs) }
    if (queue.size() >= options.queueLengthMax && aheadCount === queue.size()) return { decision: 'refused', refusal: refusal('queue-full', nowMs) }
    arrivals.record(request.weight, nowMs)
    queue.insert(entry)
    if (queue.size() > options.queueLengthMax) refuse(queue.takeLast() as QueuedRequest, 'queue-full', nowMs)
    return { decision: 'queued' }
  }

  const expire = (nowMs: number): void => {
    for (let entry = queue.takeDue(nowMs); entry; entry = queue.takeDue(nowMs)) refuse(entry, 'deadline-passed-in-queue', nowMs)
    startNext(nowMs)
  }

  const release = (measuredMs: number, nowMs: number): void => {
    running = Math.max(0, running - 1)
    serviceTimeMs = serviceTimeMs === 0 ? measuredMs : serviceTimeMs + SERVICE_TIME_WEIGHT * (measuredMs - serviceTimeMs)
    startNext(nowMs)
  }

  return {
    offer,
    release,
    cancel: queue.remove,
    expire,
    runningCount: () => running,
    queuedCount: queue.size,
    loadPercent: nowMs => Math.round(100 * (running + queue.size()) / Math.max(1, capacityAt(nowMs)))
  }
}
