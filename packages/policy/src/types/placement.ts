/**
 * Types of the selection of a target with load probes.
 */
import type { LeaveCause, OverflowOutcome } from '../zone-overflow.js'
import type { SelectionRequest } from './selection.js'

/** What it costs a request to leave the zone of its node, and whether it may. */
export type ZoneCrossing = {
  /** Body of the request and usual size of its response. */
  bytes: number
  /** Time of a caller that a kilobyte between zones is worth. */
  msPerKb: number
  /** Time for which the request has been waiting for a target. */
  waitedMs: number
  roundTripMs: (zone: string) => number
  mayLeave: (cause: LeaveCause) => boolean
}

/** A request whose target is selected with load probes that are sent for this request. */
export type PlacementRequest = SelectionRequest & {
  bodyBytes: number
  /** Usual service time of such a request on an idle target. */
  serviceTimeMs: number
  /** Time at which the latency objective of the request ends. */
  objectiveEndMs: number
  deadlineMs: number
  /** Targets that were probed since the last wait, whether they answered or not. */
  probed: ReadonlySet<string>
  /** Whether the probe rate limit allows a probe of the target now. */
  canProbe: (targetId: string) => boolean
  canWait: boolean
  canRefuse: boolean
  /** Whether only a target with a free slot and its usual speed may be chosen, as for a hedge. */
  requiresFreeAndFast: boolean
  /** Share of the slots of a target that stay free for more urgent requests; 0 by default. */
  reservedShare?: number
  /** Whether the request takes a slot that a fresh report shows, or is refused; see scarcity.ts. */
  isThrottled?: boolean
  /** Maximum number of probes between two waits; unlimited by default. */
  probesMax?: number
  /** Whether the request waits or is refused rather than sent to a target without a recent report. */
  needsReport?: boolean
  /** Whether targets without a fresh report are preferred to those whose report shows that their slots are taken. */
  avoidsReportedFull?: boolean
  /** Random number from 0 to 1, drawn once for the request, that selects requests for cold targets. */
  warmupDraw?: number
  /** Absent if requests may leave the zone as soon as it has no free and fast target. */
  crossing?: ZoneCrossing | undefined
}

export type Placement = PlacementStep & {
  /** What the step says about the demand for other zones; absent without a limit on requests that leave. */
  overflow?: OverflowOutcome
}

type PlacementStep =
  /**
   * permitWaitMaxMs: how long the request may wait for a permit if the target has a request limit or is cold.
   * isFallback: the target is busy or slow, and none is better.
   */
  | { step: 'send', targetId: string, reason: string, permitWaitMaxMs: number, isFallback?: true }
  /** Probe the load of these targets, and plan again after each result. */
  | { step: 'probe', targetIds: string[] }
  | { step: 'wait', untilMs: number }
  /** The request cannot be served in time, because of the load of the targets, their request limits or their pauses. */
  | { step: 'refuse', cause: 'late' | 'rate-limited' | 'paused', retryAfterMs: number, detail?: string }
  /** No target is usable. */
  | { step: 'none' }
