/**
 * Admission of requests of one service. Running requests are bounded by the
 * capacity; the others wait in a bounded queue, heaviest weight class first,
 * then earliest deadline. A request that cannot start in time is refused at
 * once, so that its caller can go elsewhere while there is time.
 */
import { createAdmissionQueue, type QueuedRequest } from './admission-queue.js'
import { createArrivalRates } from './arrival-rates.js'
import type { Admission, AdmissionOptions, AdmissionRequest, Refusal } from './types.js'

/** Weight of a new service time in the mean. */
const SERVICE_TIME_WEIGHT = 0.05
const RETRY_AFTER_MIN_MS = 100
/**
 * A request may wait for this share of its spare time. A full use would start
 * requests that only just fail, which wastes slots on answers of no use.
 */
const WAIT_SHARE = 0.5
/**
 * Nor may it wait for more than some service times. A longer queue does not
 * raise throughput, and a request that waits long behind heavier ones is often
 * refused in the end, when it is too late for its caller. The more of the
 * capacity the heavier classes leave, the less often that happens.
 */
const WAIT_SERVICE_TIMES_MIN = 2
const WAIT_SERVICE_TIMES_MAX = 40

const waitServiceTimes = (leftShare: number): number =>
  WAIT_SERVICE_TIMES_MIN + (WAIT_SERVICE_TIMES_MAX - WAIT_SERVICE_TIMES_MIN) * leftShare ** 3

/**
 * A request that was let into the queue is served ahead of heavier ones once
 * its time left falls to this many service times: a refusal so late would be
 * worse for its caller than one at once.
 */
const URGENT_SERVICE_TIMES = 3

export const createAdmission = (options: AdmissionOptions): Admission => {
  const queue = createAdmissionQueue()
  const arrivals = createArrivalRates()
  let running = 0
  let serviceTimeMs = 0
  let starting = false

  const capacityAt = (nowMs: number): number => Math.max(0, options.capacity(nowMs))

  const refusal = (result: Refusal['result'], nowMs: number): Refusal => {
    const clearMs = serviceTimeMs * queue.size() / Math.max(1, capacityAt(nowMs))
    return { result, retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, Math.ceil(clearMs)) }
  }

  /** The wait includes what heavier classes send meanwhile, by their rates so far. */
  const canWait = (request: AdmissionRequest, ahead: number, nowMs: number): boolean => {
    if (serviceTimeMs === 0) return true
    const ratePerMs = capacityAt(nowMs) / serviceTimeMs
    const leftPerMs = ratePerMs - arrivals.heavierPerMs(request.weight, nowMs)
    if (leftPerMs <= 0) return false
    const waitMaxMs = waitServiceTimes(leftPerMs / ratePerMs) * serviceTimeMs
    const spareMs = request.deadlineMs - nowMs - serviceTimeMs
    return (ahead + 1) / leftPerMs <= Math.min(waitMaxMs, WAIT_SHARE * spareMs)
  }

  const refuse = ({ request }: QueuedRequest, result: Refusal['result'], nowMs: number): void =>
    request.refuse(refusal(result, nowMs))

  /** Callbacks may call back into the admission, so only the outermost call starts requests. */
  const startNext = (nowMs: number): void => {
    if (starting) return
    starting = true
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
      starting = false
    }
  }

  const offer: Admission['offer'] = (request, nowMs) => {
    if (request.deadlineMs <= nowMs) return { decision: 'refused', refusal: refusal('deadline-unreachable', nowMs) }
    if (queue.size() === 0 && running < capacityAt(nowMs)) {
      arrivals.note(request.weight, nowMs)
      running++
      return { decision: 'run' }
    }
    const { entry, ahead } = queue.place(request)
    if (!canWait(request, ahead, nowMs)) return { decision: 'refused', refusal: refusal('deadline-unreachable', nowMs) }
    if (queue.size() >= options.queueLengthMax && ahead === queue.size()) return { decision: 'refused', refusal: refusal('queue-full', nowMs) }
    arrivals.note(request.weight, nowMs)
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
