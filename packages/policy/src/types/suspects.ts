/**
 * Types of requests under which targets ended.
 */

/** A target has ended while it ran a request. */
export type CrashReport = {
  /** Identity of the request: the same for the same method, path, credentials of the caller and body. */
  identity: string
  service: string
  targetId: string
  /** Monotonic time at which the connection broke. */
  crashedMs: number
}

export type SuspectRequests = {
  /** @returns whether the crash is new to this node */
  recordCrash: (report: CrashReport, nowMs: number) => boolean
  /** Clears a request that a target has run and answered: earlier crashes do not count, also if they are reported later. */
  recordAnswered: (identity: string, atMs: number) => void
  /** Number of targets that ended under the request. */
  crashCount: (identity: string, nowMs: number) => number
  /** Whether the request must not reach a target. */
  isBanned: (identity: string, nowMs: number) => boolean
  /** Whether the request may be sent to a further target. */
  mayRepeat: (identity: string, nowMs: number) => boolean
  /** Whether a suspect belongs to the group, so most requests are ruled out without their identity. */
  hasGroup: (group: string) => boolean
  /** The crashes of the requests with most of them, to be told to a node that has started. */
  reports: (nowMs: number) => CrashReport[]
  /** Number of suspects. */
  count: () => number
}
