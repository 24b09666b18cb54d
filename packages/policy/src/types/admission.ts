/**
 * Types of admission and its queue.
 */

export type AdmissionRequest = {
  id: string
  weight: number
  /** Monotonic ms; a later response is useless to the caller. */
  deadlineMs: number
  /** Called synchronously when the request leaves the queue to run. */
  run: () => void
  /** Called when the request is refused after it was queued. It does not run afterwards. */
  refuse: (refusal: Refusal) => void
}

export type Refusal = {
  result: 'queue-full' | 'deadline-unreachable' | 'deadline-passed-in-queue' | 'process-paused'
  /** Time after which the caller may retry. */
  retryAfterMs: number
}

export type AdmissionOptions = {
  queueLengthMax: number
  /** Maximum number of concurrent requests; read for each decision since limits adapt. */
  capacity: (nowMs: number) => number
}

export type Admission = {
  offer: (request: AdmissionRequest, nowMs: number) => { decision: 'run' } | { decision: 'queued' } | { decision: 'refused', refusal: Refusal }
  /** Releases the slot of a request that ran; may start queued requests. */
  release: (serviceTimeMs: number, nowMs: number) => void
  /** Removes a request from the queue; false when it is not queued. */
  cancel: (id: string) => boolean
  /** Refuses queued requests whose deadline has passed, then starts queued requests if there is capacity. */
  expire: (nowMs: number) => void
  runningCount: () => number
  queuedCount: () => number
  /** Share of the capacity in use, in percent; above 100 when requests wait. */
  loadPercent: (nowMs: number) => number
}
