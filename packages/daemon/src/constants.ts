/**
 * Limits and intervals of the daemon. Sizes are in bytes, times in ms.
 */

/** Largest request header; node:http refuses more with an overflow error. */
export const HEADER_BYTES_MAX = 16_384
/** Longest time for the caller to send the request head. */
export const HEAD_TIMEOUT_MS = 5_000
/** Idle time after which a caller's kept-alive connection is closed. */
export const CALLER_IDLE_MS = 75_000
/** Longest time without a byte of the request body. */
export const BODY_IDLE_MS = 15_000
/** Bodies up to this size are collected before they are sent and kept for another attempt. */
export const REPLAY_BYTES_MAX = 65_536
/** What is still read of the body of a refused request, so that the caller sees the refusal and not a reset. */
export const LINGER_BYTES_MAX = 1_048_576
export const LINGER_MS = 1_000

/**
 * A connection opens within a few ms in a region. The kernel repeats a lost SYN
 * only after 1 s, so longer waiting would use up deadlines and bring nothing.
 */
export const CONNECT_TIMEOUT_MS = 150
/** Idle time of a connection to a backend server that names none. */
export const BACKEND_IDLE_MS = 4_000
export const RESPONSE_HEADER_BYTES_MAX = 65_536

export const RETRY_ALLOWANCE_DEFAULT = 3
export const CALL_DEPTH_MAX = 9
export const REQUEST_TIMEOUT_MAX_MS = 3_600_000

export const QUEUE_LENGTH_MAX = 1_024
/** One caller address stands for many callers behind a proxy, so these stop runaways and do not share out capacity. */
export const CALLER_LIMITS = { connectionsMax: 1_024, requestsPerS: 5_000, requestBurst: 10_000, callersMax: 10_000 }

/** Granularity of deadlines. */
export const WHEEL_TICK_MS = 5
export const BEAT_MS = 50
export const PAUSE_GAP_MS = 500
/** A silent connection counts as silent after this time at the earliest. */
export const SILENT_MS_MIN = 250

export const EVENT_RECORD_CAPACITY = 10_000
/** Routed requests that are recorded for explain, per second. */
export const ROUTE_EVENTS_PER_S = 20
/** Lines on requests that failed, were late or were repeated, per second; the rest are counted. */
export const FAILURE_LINES_PER_S = 50
/** Lines on requests that were answered in time, per second. */
export const SAMPLE_LINES_PER_S = 1
/** The short window of a burn rate is 5 minutes and the long one an hour. */
export const BURN_MINUTES = 60
export const BURN_BUCKETS_MAX = 20_000
/** Distinct causes and targets in one bucket; further ones are added up as "other". */
export const BURN_CAUSES_MAX = 64

/** Time without any caller connection after which a leaving node stops early. */
export const LEAVE_QUIET_MS = 1_000

export const EXIT_SETTINGS = 2
export const EXIT_ADDRESS = 3
export const EXIT_FAULT = 70
