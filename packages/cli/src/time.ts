/**
 * Times and durations as text. Times are UTC, so that zones and operators agree.
 */
const S = 1000
const MIN = 60 * S
const HOUR = 60 * MIN
const DAY = 24 * HOUR

/** "45s", "12m", "3h 5m", "2d 4h" */
export const formatDuration = (durationMs: number): string => {
  if (durationMs < MIN) return `${Math.floor(durationMs / S)}s`
  if (durationMs < HOUR) return `${Math.floor(durationMs / MIN)}m`
  const [unitMs, unit, partMs, part] = durationMs < DAY ? [HOUR, 'h', MIN, 'm'] as const : [DAY, 'd', HOUR, 'h'] as const
  const rest = Math.floor(durationMs % unitMs / partMs)
  return `${Math.floor(durationMs / unitMs)}${unit}${rest > 0 ? ` ${rest}${part}` : ''}`
}

/** "2026-12-04 05:20" */
export const formatMinute = (wallMs: number): string => new Date(wallMs).toISOString().slice(0, 16).replace('T', ' ')

/** "05:20:31" */
export const formatTimeOfDay = (wallMs: number): string => new Date(wallMs).toISOString().slice(11, 19)

export const isDate = (wallMs: number): boolean => !Number.isNaN(new Date(wallMs).getTime())
