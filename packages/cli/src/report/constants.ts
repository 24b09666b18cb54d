/**
 * Windows and thresholds of the report, after "Alerting on SLOs" in the Site
 * Reliability Workbook (Beyer et al., 2018).
 */
export const MINUTE_MS = 60_000
export const HOUR_MS = 60 * MINUTE_MS
export const DAY_MS = 24 * HOUR_MS

/**
 * An alert fires when its share of the error budget is used up within its long
 * window. The short window shows whether the budget is still being used up: it
 * must exceed the same burn rate. For an objective over 30 days the thresholds
 * are burn rates of 14.4, 6 and 3.
 */
export const BURN_ALERTS = [
  { name: 'fast', shortMs: 5 * MINUTE_MS, longMs: HOUR_MS, budgetShare: 0.02 },
  { name: 'medium', shortMs: 30 * MINUTE_MS, longMs: 6 * HOUR_MS, budgetShare: 0.05 },
  { name: 'slow', shortMs: 2 * HOUR_MS, longMs: DAY_MS, budgetShare: 0.1 }
] as const

/** A daemon keeps the buckets of the last hour, and at most this many; see docs/design.md section 7. */
export const NODE_HISTORY_MS = HOUR_MS
export const NODE_BUCKETS_MAX = 20_000

/** Accepted difference between the clock of a node and that of this machine. */
export const CLOCK_TOLERANCE_MS = 2 * MINUTE_MS

/** Minutes with fewer failures are no incident: at low traffic one slow request is not significant. */
export const INCIDENT_FAILURES_MIN = 5

/** Bad minutes at most this far apart belong to one incident. */
export const INCIDENT_GAP_MS = 2 * MINUTE_MS

/** Rows in each list of budget consumers. */
export const CONSUMERS_MAX = 8
