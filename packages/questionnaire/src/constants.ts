/**
 * Limits and defaults of the questionnaire.
 */

/** Largest value that the configuration service accepts. */
export const VALUE_BYTES_MAX = 1_000_000

/** A value above a quarter of the limit gives a warning, so it can be split long before publishing fails. */
export const VALUE_BYTES_WARNING = VALUE_BYTES_MAX / 4

/** Largest body that a node buffers for a retry. */
export const REPLAY_BODY_BYTES_MAX = 65_536

/** Entry answers carry 4 addresses for 10 s; see section 6 of docs/design.md. */
export const ENTRY_ADDRESS_COUNT = 4
export const ENTRY_LIFETIME_MS = 10_000

/** Values of answers that are not given. */
export const DEFAULTS = {
  replacementOverlap: 4,
  configurationServiceRestoreCount: 0,
  cpuPercent: 1,
  trustsReuse: false,
  warmupMs: 0,
  warmupRatePerS: 0,
  healthPath: '/health',
  defaultDeadlineMs: 1000,
  boundedBy: 'deadline',
  weight: 10,
  bodyBytesMax: 65_536,
  objective: { inTimePercent: 99.9, windowDays: 30 }
} as const

export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
