/**
 * Times and durations as text. Times are UTC, the same for all zones and operators.
 */
const SECOND_MS = 1000
const MINUTE_MS = 60 * SECOND_MS
const HOUR_MS = 60 * MINUTE_MS
const DAY_MS = 24 * HOUR_MS

/** "45s", "12m", "3h 5m", "2d 4h" */
export const formatDuration = (durationMs: number): string => {
  if (durationMs < MINUTE_MS) return `${Math.floor(durationMs / SECOND_MS)}s`
  if (durationMs < HOUR_MS) return `${Math.floor(durationMs / MINUTE_MS)}m`
  const [unitMs, unit, smallerUnitMs, smallerUnit] = durationMs < DAY_MS ? [HOUR_MS, 'h', MINUTE_MS, 'm'] as const : [DAY_MS, 'd', HOUR_MS, 'h'] as const
  const smallerCount = Math.floor(durationMs % unitMs / smallerUnitMs)
  return `${Math.floor(durationMs / unitMs)}${unit}${smallerCount > 0 ? ` ${smallerCount}${smallerUnit}` : ''}`
}

/** "2026-12-04 05:20" */
export const formatDateTime = (wallMs: number): string => new Date(wallMs).toISOString().slice(0, 16).replace('T', ' ')

/** "05:20:31" */
export const formatTimeOfDay = (wallMs: number): string => new Date(wallMs).toISOString().slice(11, 19)

export const isValidTime = (wallMs: number): boolean => !Number.isNaN(new Date(wallMs).getTime())
