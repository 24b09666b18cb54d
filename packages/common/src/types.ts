/**
 * Types shared by all layers above the schema.
 */
import type { Kind, Target } from '@wisteriavalve/schema'

/** Cancels a scheduled call; does nothing once the call was made. */
export type Cancel = () => void

/** Monotonic clock in milliseconds; its zero is arbitrary. */
export type Clock = {
  nowMs: () => number
  after: (delayMs: number, run: () => void) => Cancel
}

/** Clock that stands still until it is advanced; calls that fall due run in order of time. */
export type ManualClock = Clock & { advance: (durationMs: number) => void }

/** Seeded source of random numbers. */
export type Random = {
  /** Uniform in [0, 1). */
  next: () => number
  /** Uniform integer in [0, below). */
  int: (below: number) => number
}

export type Result<T, E> = { ok: true, value: T } | { ok: false, error: E }

/** A target with what the list that it comes from tells of it. */
export type ListedTarget = Target & {
  /** Requests that the target runs at a time, when they differ from its service's. */
  slots?: number
  /** Number of this start; another number under the same id is another process. */
  incarnation?: number
  /** The target started a short time ago and is still slow. */
  isNew?: boolean
}

/** Requests of one host and path prefix; they go to one service, or are divided among several. */
export type Route = {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: Kind
  destinations: ReadonlyArray<{ service: string, weight: number }>
}
