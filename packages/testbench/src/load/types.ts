/**
 * Types of the load generator.
 */

/** One kind of requests and how it is sent. */
export type KindLoad = {
  service: string
  kind: string
  method: string
  /** Path with its query; `{n}` is replaced by a number. */
  path: string
  idempotent: boolean
  deadlineMs: number
  boundedBy: 'deadline' | 'progress'
  weight: number
  /** Part of all requests, relative to the other kinds. */
  share: number
  bodyBytes: number
  /** Time over which the body is sent. */
  uploadMs: number
}

export type Address = { host: string, port: number }

export type LoadOptions = {
  kinds: readonly KindLoad[]
  ratePerS: number
  durationMs: number
  /** Bound of the number of requests, whatever rate and duration say. */
  requestsMax: number
  seed: number
  callerCount: number
  /** Addresses that a caller asks first which addresses to use. */
  entries: readonly Address[]
  /** false: requests go straight to `entries`, for runs without a daemon. */
  askEntries?: boolean
  /** Availability zones of the callers, in turn. */
  zones?: readonly string[]
  /** Start of each request id, so that runs against the same servers differ. */
  idPrefix?: string
  onOutcome?: (outcome: CallOutcome) => void
}

/** in-time and late: a whole answer of the backend server with a status below 500. */
export type CallResult = 'in-time' | 'late' | 'backend-error' | 'not-run' | 'outcome-unknown'

export type CallOutcome = {
  requestId: string
  service: string
  kind: string
  idempotent: boolean
  weight: number
  result: CallResult
  /** HTTP status, or 0 without a response. */
  status: number
  /** Result code of a node, or the error code of the connection. */
  code?: string
  /** How the answer's body compares with what this request must get; undefined without a whole answer. */
  answer?: 'own' | 'foreign' | 'broken'
  /** From the intended start, in ms. */
  latencyMs: number
  /** From the start of the last attempt, in ms. */
  attemptMs: number
  /** Unix time in ms. */
  endedMs: number
  /** Nodes that were tried. */
  attempts: number
}
