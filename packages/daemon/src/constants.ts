/**
 * Limits and intervals of the daemon. Sizes are in bytes, times in ms.
 */

/** Maximum size of the request headers; node:http rejects larger ones with an overflow error. */
export const HEADER_BYTES_MAX = 16_384
/** Maximum time for the caller to send the request head. */
export const HEAD_TIMEOUT_MS = 5_000
/** Idle time after which a caller's keep-alive connection is closed. */
export const CALLER_IDLE_MS = 75_000
/** Maximum time without a byte of the request body. */
export const BODY_IDLE_MS = 15_000
/** Bodies up to this size are collected before they are sent, and kept for further attempts. */
export const REPLAY_BYTES_MAX = 65_536
/** Bytes of one body that are read before an attempt reads them, so that the end of its caller's connection is seen. */
export const READ_AHEAD_BYTES_MAX = 1_048_576
/** The same for all bodies of a node together; an entry VM has a few hundred MB of memory. */
export const READ_AHEAD_TOTAL_BYTES_MAX = 16_777_216
/**
 * Part of a refused request's body that is still read. Without it the caller
 * sees a reset instead of the refusal.
 */
export const LINGER_BYTES_MAX = 1_048_576
export const LINGER_MS = 1_000

/**
 * Connections within a region open in a few ms. The kernel retransmits a lost
 * SYN only after 1 s, so a longer timeout would only use up deadlines.
 */
export const CONNECT_TIMEOUT_MS = 150
/** Idle time of a connection if the backend server does not state one. */
export const BACKEND_IDLE_MS = 4_000
/**
 * Maximum number of received bytes without a byte of the body: informational
 * heads and the head together, trailers, or the extensions of a chunk.
 */
export const RESPONSE_HEADER_BYTES_MAX = 65_536
/** Maximum number of lines among these bytes, beyond those of the first piece. Each line costs memory of its own. */
export const SLOW_LINES_MAX = 256
/** Size of a piece that is parsed at once before the body of a response; most heads fit into one. */
export const PIECE_BYTES = 4_096
/** Size of a piece when many bytes of a response are not of its body. */
export const SLOW_PIECE_BYTES = 2_048
/** Bytes outside of its body, as a number and a share of the body, from which a response is parsed in such pieces. */
export const SLOW_OVERHEAD_BYTES = 2_048
export const SLOW_OVERHEAD_SHARE = 0.25
/** Time for parsing such pieces in a row, and the pause after it. Together they bound the share of the processor. */
export const SLOW_READING_MS = 1
export const SLOW_READING_PAUSE_MS = 15
/** Smaller pieces of a body are joined before they are passed on. */
export const SMALL_CHUNK_BYTES = 1_024
export const JOINED_CHUNKS_BYTES = 16_384
/** Maximum number of informational (1xx) heads before a response. */
export const INFORMATIONAL_HEADS_MAX = 16
/**
 * Maximum number of received bytes of a response that are not part of its body:
 * heads, chunk extensions and trailers.
 */
export const RESPONSE_OVERHEAD_BYTES_MAX = 262_144
/** Allowed overhead for each byte of the body, since each chunk of a body has a header of its own. */
export const CHUNK_OVERHEAD_FACTOR = 8
/** Maximum size of the body of a response that announces no length. */
export const UNSIZED_RESPONSE_BYTES_MAX = 67_108_864
/** Limits for holding a response until it is whole: a small one, and one whose end only the end of its connection marks. */
export const HELD_RESPONSE_BYTES_MAX = 65_536
export const HELD_RESPONSE_MS_MAX = 250
/** Time without progress of a request's body after which a success of its target waits no longer for the rest. */
export const EARLY_RESPONSE_IDLE_MS = 250
/** Time that is left to pass such a response on before the deadline. */
export const EARLY_RESPONSE_MARGIN_MS = 50
/** Time for which a target that sent a response for another request gets a new connection for each request. */
export const FOREIGN_RESPONSE_HOLD_MS = 10_000

/** Name of the node that relays a request to a peer. */
export const RELAYED_BY_HEADER = 'x-relayed-by'
/** Revision of the configuration under which the node received a request that it relays. */
export const RELAYED_REVISION_HEADER = 'x-relayed-revision'
/** Number of targets that a relayed request may still be sent to by the node that gets it. */
export const RELAYED_ATTEMPTS_HEADER = 'x-relayed-attempts'
export const RETRY_ALLOWANCE_DEFAULT = 3
export const CALL_DEPTH_MAX = 9
export const REQUEST_TIMEOUT_MAX_MS = 3_600_000

export const QUEUE_LENGTH_MAX = 1_024
/**
 * A proxy's address stands for many callers, so these limits only stop runaway
 * callers and do not divide capacity fairly.
 */
export const CALLER_LIMITS = { connectionsMax: 1_024, requestsPerS: 5_000, requestBurst: 10_000, callersMax: 10_000 }

/** Resolution of deadlines. */
export const WHEEL_TICK_MS = 5
export const MAINTENANCE_INTERVAL_MS = 50
/** The same while no request is in flight. */
export const IDLE_MAINTENANCE_INTERVAL_MS = 200
export const PAUSE_MS_MIN = 500
/** Delay of the event loop from which callers may have left before their requests were read. */
export const LATE_MS_MIN = 25
/** Minimum time without progress before a connection counts as silent. */
export const SILENT_MS_MIN = 250

export const EVENT_RECORD_CAPACITY = 10_000
/** Maximum number of routed requests recorded for explain per second. */
export const ROUTE_EVENTS_PER_S = 20
/** Maximum log lines per second for failed, late or repeated requests; further ones are only counted. */
export const FAILURE_LINES_PER_S = 50
/** Maximum log lines per second for requests that were answered in time. */
export const SAMPLE_LINES_PER_S = 1
/** The burn rate has a short window of 5 minutes and a long one of 60 minutes. */
export const BURN_MINUTES = 60
export const BURN_BUCKETS_MAX = 20_000
/**
 * Maximum number of distinct pairs of cause and target in one bucket; further
 * ones are counted as "other".
 */
export const BURN_CAUSES_MAX = 64

/** Retry-After of a node that stops. It is short because the caller's next try goes to another node. */
export const LEAVING_RETRY_AFTER_MS = 40
/** A leaving node stops early after this time without caller connections. */
export const LEAVE_QUIET_MS = 1_000

export const EXIT_INVALID_SETTINGS = 2
export const EXIT_ADDRESS_IN_USE = 3
export const EXIT_UNEXPECTED_ERROR = 70
