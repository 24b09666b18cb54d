/**
 * Admission of requests of one service. Running requests are bounded by the
 * capacity; the others wait in a bounded queue, heaviest weight class first,
 * then earliest deadline. A request that cannot start in time is refused at
 * once, so that its caller can go elsewhere while there is time.
 *
 * The queue is a sorted array with the next request at its end: the position
 * of a new request, and with it the expected wait, is found by binary search.
 */
import type { Admission, AdmissionOptions, AdmissionRequest, Refusal } from './types.js'

type Queued = { request: AdmissionRequest, order: number }

const SERVICE_TIME_WEIGHT = 0.05
const RETRY_AFTER_MIN_MS = 100

/** Positive when a is served after b. */
const servedAfter = (a: Queued, b: Queued): number =>
  b.request.weight - a.request.weight || a.request.deadlineMs - b.request.deadlineMs || a.order - b.order

/** First index from which on all entries are served before the given one. */
const positionOf = (queue: readonly Queued[], entry: Queued): number => {
  let low = 0
  let high = queue.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (servedAfter(queue[middle] as Queued, entry) > 0) low = middle + 1
    else high = middle
  }
  return low
}

export const createAdmission = (options: AdmissionOptions): Admission => {
  const queue: Queued[] = []
  const byId = new Map<string, Queued>()
  let running = 0
  let order = 0
  let serviceTimeMs: number | undefined

  const capacityAt = (nowMs: number): number => Math.max(0, options.capacity(nowMs))

  const waitMs = (ahead: number, nowMs: number): number =>
    (ahead + 1) * (serviceTimeMs ?? 0) / Math.max(1, capacityAt(nowMs))

  const refusal = (result: Refusal['result'], nowMs: number): Refusal =>
    ({ result, retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, Math.ceil(waitMs(queue.length, nowMs))) })

  const removeAt = (index: number): Queued => {
    const [entry] = queue.splice(index, 1) as [Queued]
    byId.delete(entry.request.id)
    return entry
  }

  const refuseAt = (index: number, result: Refusal['result'], nowMs: number): void => {
    const { request } = removeAt(index)
    request.refuse(refusal(result, nowMs))
  }

  const canFinish = (request: AdmissionRequest, ahead: number, nowMs: number): boolean =>
    nowMs + waitMs(ahead, nowMs) + (serviceTimeMs ?? 0) <= request.deadlineMs

  const startNext = (nowMs: number): void => {
    while (queue.length > 0 && running < capacityAt(nowMs)) {
      const { request } = queue[queue.length - 1] as Queued
      if (request.deadlineMs <= nowMs) {
        refuseAt(queue.length - 1, 'deadline-passed-in-queue', nowMs)
        continue
      }
      removeAt(queue.length - 1)
      running++
      request.run()
    }
  }

  const offer: Admission['offer'] = (request, nowMs) => {
    if (request.deadlineMs <= nowMs) return { decision: 'refused', refusal: refusal('deadline-unreachable', nowMs) }
    if (queue.length === 0 && running < capacityAt(nowMs)) {
      running++
      return { decision: 'run' }
    }
    const entry: Queued = { request, order: order++ }
    const position = positionOf(queue, entry)
    if (!canFinish(request, queue.length - position, nowMs)) {
      return { decision: 'refused', refusal: refusal('deadline-unreachable', nowMs) }
    }
    if (queue.length >= options.queueLengthMax && position === 0) return { decision: 'refused', refusal: refusal('queue-full', nowMs) }
    queue.splice(position, 0, entry)
    byId.set(request.id, entry)
    if (queue.length > options.queueLengthMax) refuseAt(0, 'queue-full', nowMs)
    return { decision: 'queued' }
  }

  const expire = (nowMs: number): void => {
    for (let index = queue.length - 1; index >= 0; index--) {
      const { request } = queue[index] as Queued
      if (request.deadlineMs <= nowMs) refuseAt(index, 'deadline-passed-in-queue', nowMs)
      else if (!canFinish(request, queue.length - 1 - index, nowMs)) refuseAt(index, 'deadline-unreachable', nowMs)
    }
    startNext(nowMs)
  }

  const release = (measuredMs: number, nowMs: number): void => {
    running = Math.max(0, running - 1)
    serviceTimeMs = serviceTimeMs === undefined ? measuredMs : serviceTimeMs + SERVICE_TIME_WEIGHT * (measuredMs - serviceTimeMs)
    startNext(nowMs)
  }

  const cancel = (id: string): boolean => {
    const entry = byId.get(id)
    if (!entry) return false
    removeAt(positionOf(queue, entry))
    return true
  }

  return {
    offer,
    release,
    cancel,
    expire,
    runningCount: () => running,
    queuedCount: () => queue.length,
    loadPercent: nowMs => Math.round(100 * (running + queue.length) / Math.max(1, capacityAt(nowMs)))
  }
}
