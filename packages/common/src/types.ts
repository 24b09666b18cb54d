/**
 * Types shared by all layers above the schema.
 */
import type { Kind, Target } from '@wisteriavalve/schema'

/** Cancels a scheduled call. Has no effect after the call has run. */
export type Cancel = () => void

/** Monotonic clock in milliseconds; its zero is arbitrary. */
export type Clock = {
  nowMs: () => number
  after: (delayMs: number, run: () => void) => Cancel
}

/** Clock that changes only when it is advanced; calls that become due run in the order of their times. */
export type ManualClock = Clock & { advance: (durationMs: number) => void }

/** Seeded source of random numbers. */
export type Random = {
  /** Uniform in [0, 1). */
  next: () => number
  /** Uniform integer in [0, below). */
  int: (below: number) => number
}

export type Result<T, E> = { ok: true, value: T } | { ok: false, error: E }

/** A target with further information from the list that contains it. */
export type ListedTarget = Target & {
  /** Requests that the target runs concurrently, when this differs from the value of its service. */
  slots?: number
  /** Number of the target's start; the same id with another number is another process. */
  incarnation?: number
  /** Whether the target started recently and is still slow. */
  isNew?: boolean
  /** Time for which the target stays cold, when its entry was written. */
  warmupLeftMs?: number
}

/** Routes requests of one host and path prefix to one service, or divides them among several. */
export type PublishedRoute = {
  name: string
  host: string
  /** Starts and ends with a slash. */
  pathPrefix: string
  kind: Kind
  destinations: ReadonlyArray<{ service: string, weight: number }>
  /** Regions whose targets and nodes may get the requests; absent: all. */
  allowedRegions?: readonly string[]
}

/** A route as a node uses it. allowedZones: zones of the allowed regions, computed by each node; absent: all. */
export type Route = PublishedRoute & { allowedZones?: ReadonlySet<string> }

/** What a node knows of the request limit of a target. */
export type LimitStatement = {
  /** Requests per second that the target accepts from all nodes together; null when it states no limit any more. */
  limitPerS: number | null
  /** Time since the response from which the node knows it. */
  ageMs: number
}
