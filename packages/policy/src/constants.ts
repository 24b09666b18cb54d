/**
 * Figures of the request policy. Times are in ms unless the name says otherwise.
 */

/** Failures in a row that eject a target. */
export const EJECT_FAILURES_IN_ROW = 5
/** Outcomes that the failure share is taken over. */
export const OUTCOME_WINDOW = 20
export const EJECT_FAILURE_SHARE = 0.5
/** Most targets of a service that may be ejected at a time. */
export const EJECTED_SHARE_MAX = 0.3
export const EJECTION_BASE_MS = 1000
export const EJECTION_MAX_MS = 30_000
/** A target that stayed out of ejection for this long starts again with the shortest ejection. */
export const EJECTION_FORGET_MS = 60_000
/** Complete answers in a row that end the probation. */
export const PROBATION_ANSWERS = 3

export const SLOW_START_MS = 5000
/** Share of its normal requests that a cold target gets at first. */
export const SLOW_START_SHARE_MIN = 0.1

/** After this time without a sign of draining, a probe may report a restarted target as usable again. */
export const DRAIN_FORGET_MS = 10_000
/** A target that left is kept in the status for this long. */
export const GONE_KEPT_MS = 60_000

/** Half-life of the weight of a load report in units of the usual time to first byte: queues change with each answer. */
export const REPORT_HALF_LIFE_SHARE = 0.6
export const REPORT_HALF_LIFE_MAX_MS = 250
/** A target without a recent report is taken to have this many times the mean load. */
export const UNKNOWN_LOAD_FACTOR = 2

/**
 * A target that reports more requests than this many times its slots counts as
 * congested. At 1.75, nodes refused requests at 70% load with one straggler
 * (0.3% of the pages of authority); test servers shed load from 5 on.
 */
export const CONGESTED_LOAD = 3.5

export const RETRY_WINDOW_MS = 10_000
export const RETRY_SHARE = 0.1
/** Five failures eject a target, and its tests on probation can fail a few times more. */
export const RETRY_FLOOR = 10
/** At 3%, p99 with noisy neighbours was 0.60 of that of two random choices; at 5% it is 0.56 to 0.59. */
export const HEDGE_SHARE = 0.05
export const RETRY_ALLOWANCE_DEFAULT = 3
export const CALL_DEPTH_MAX = 9

/** A pooled connection is trusted with a non-idempotent request when it answered within this time. */
export const CONNECTION_FRESH_MS = 1000
export const SILENT_MIN_MS = 250
/** A connection is silent after this many times the target's p99 time to first byte. */
export const SILENT_P99_FACTOR = 4
