/**
 * Limits and defaults of the questionnaire.
 */

/** Largest value that the configuration service holds. */
export const VALUE_BYTES_MAX = 1_000_000

/** Above a quarter of the limit a value is reported, so that it is split long before it stops working. */
export const VALUE_BYTES_WARNING = VALUE_BYTES_MAX / 4

/** Largest body that a node buffers for a retry. */
export const REPLAY_BODY_BYTES_MAX = 65_536

/** Entry answers carry 4 addresses for 10 s; see section 6 of docs/design.md. */
export const ENTRY_ADDRESS_COUNT = 4
export const ENTRY_LIFETIME_MS = 10_000

/** Values for answers that were left out. */
export const DEFAULTS = {
  replacementOverlap: 4,
  configurationServiceRestoreCount: 0,
  cpuPercent: 1,
  healthPath: '/health',
  defaultDeadlineMs: 1000,
  boundedBy: 'deadline',
  weight: 10,
  bodyBytesMax: 65_536,
  objective: { inTimePercent: 99.9, windowDays: 30 }
} as const

export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
