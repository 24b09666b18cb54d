/**
 * Constants of the request policy. Times are in ms unless the name states another unit.
 */

/** Consecutive failures that eject a target. */
export const EJECT_CONSECUTIVE_FAILURES = 5
/** Number of latest outcomes over which the failure share is computed. */
export const OUTCOME_WINDOW_SIZE = 20
export const EJECT_FAILURE_SHARE = 0.5
/** Maximum share of the targets of a service that may be ejected at a time. */
export const EJECTED_SHARE_MAX = 0.3
export const EJECTION_BASE_MS = 1000
export const EJECTION_MAX_MS = 30_000
/** The ejection time is reset to the shortest one after a target was not ejected for this long. */
export const EJECTION_RESET_MS = 60_000
/** Consecutive complete responses that end the probation. */
export const PROBATION_RESPONSES = 3

export const SLOW_START_MS = 5000
/** Share of its normal requests that a cold target gets at the start of the slow start. */
export const SLOW_START_SHARE_MIN = 0.1

/** A draining target may be taken as restarted by a probe only after this time without a draining observation. */
export const DRAIN_HOLD_MS = 10_000
/** Time for which a removed target is kept in the status. */
export const GONE_RETENTION_MS = 60_000

/** Half-life of the weight of a load report, in units of the median time to first byte: queues change with each response. */
export const REPORT_HALF_LIFE_SHARE = 0.6
export const REPORT_HALF_LIFE_MAX_MS = 250
/** A target without a recent report is assumed to have this many times the mean load. */
export const UNKNOWN_LOAD_FACTOR = 2

/**
 * A target that reports more requests than this many times its slots counts as
 * congested. At 1.75, nodes refused requests at 70% load with one straggler
 * (0.3% of the page requests of the `authority` fleet). Test servers shed load
 * from 5 on.
 */
export const CONGESTED_LOAD_FACTOR = 3.5

export const RETRY_WINDOW_MS = 10_000
export const RETRY_SHARE = 0.1
/** Covers the five failures that eject a target, and a few failed test requests during its probation. */
export const RETRY_FLOOR = 10
/** With noisy neighbours, p99 relative to the two-choices policy is 0.60 at a share of 3% and 0.56 to 0.59 at 5%. */
export const HEDGE_SHARE = 0.05
export const RETRY_ALLOWANCE_DEFAULT = 3
export const CALL_DEPTH_MAX = 9

/** A pooled connection is used for a non-idempotent request only when it completed a response within this time. */
export const CONNECTION_FRESH_MS = 1000
export const SILENT_MIN_MS = 250
/** A connection counts as silent after this many times the target's p99 time to first byte. */
export const SILENT_P99_FACTOR = 4
