/**
 * Types of the selection of a target with load probes.
 */
import type { SelectionRequest } from './selection.js'

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
}

export type Placement =
  /** permitWaitMaxMs: how long the request may wait for a permit if the target has a request limit. */
  | { step: 'send', targetId: string, reason: string, permitWaitMaxMs: number }
  /** Probe the load of these targets, and plan again after each result. */
  | { step: 'probe', targetIds: string[] }
  | { step: 'wait', untilMs: number }
  /** The request cannot be served in time, because of the load of the targets, their request limits or their pauses. */
  | { step: 'refuse', cause: 'late' | 'rate-limited' | 'paused', retryAfterMs: number, detail?: string }
  /** No target is usable. */
  | { step: 'none' }
