/**
 * Types of the placement of one request.
 */
import type { SelectionRequest } from './types.js'

/** A request that is placed with reports asked for on its behalf. */
export type PlacementRequest = SelectionRequest & {
  bodyBytes: number
  /** Usual time of such a request on an idle target. */
  workMs: number
  /** Until then an answer has its full value. */
  objectiveAtMs: number
  deadlineMs: number
  /** Targets that were asked since the last wait, whether they answered or not. */
  probed: ReadonlySet<string>
  /** Whether the limit on probes allows to ask a target now. */
  mayProbe: (targetId: string) => boolean
  mayWait: boolean
  mayRefuse: boolean
  /** Whether a target that is busy or slow is no use, as for a hedge. */
  onlyGood: boolean
}

export type Placement =
  | { step: 'send', targetId: string, reason: string }
  /** Ask these targets for their load, and plan again after each answer. */
  | { step: 'probe', targetIds: string[] }
  | { step: 'wait', untilMs: number }
  /** The request cannot be served in time. */
  | { step: 'refuse', retryAfterMs: number }
  /** No target can be used. */
  | { step: 'none' }
