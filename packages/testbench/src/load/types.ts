/**
 * Types of the load generator.
 */

/** One kind of request and how it is sent. */
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
  /** Share of all requests, relative to the other kinds. */
  share: number
  bodyBytes: number
  /** Duration over which the body is sent. */
  uploadMs: number
}

export type Address = { host: string, port: number }

export type LoadOptions = {
  kinds: readonly KindLoad[]
  ratePerS: number
  durationMs: number
  /** Upper limit of the number of requests, also when rate and duration give more. */
  requestsMax: number
  seed: number
  callerCount: number
  /** Addresses of the nodes from which callers first fetch the addresses to use. */
  entryAddresses: readonly Address[]
  /** false: requests are sent directly to `entryAddresses`, for runs without a daemon. */
  shouldFetchAddresses?: boolean
  /** Availability zones, assigned to the callers in rotation. */
  zones?: readonly string[]
  /** Prefix of each request id. Distinguishes runs against the same servers. */
  idPrefix?: string
  onOutcome?: (outcome: CallOutcome) => void
}

/** in-time and late: a complete response of the backend server with a status below 500. */
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
  /** Result code of the node, or error code of the connection. */
  code?: string
  /** Verification of the response body for this request; undefined without a complete response. */
  answer?: 'own' | 'foreign' | 'broken'
  /** Measured from the intended start. */
  latencyMs: number
  /** Measured from the start of the last attempt. */
  attemptMs: number
  /** Unix time in ms. */
  endedMs: number
  /** Number of nodes to which the request was sent. */
  attempts: number
}
