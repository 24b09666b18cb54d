/**
 * Types of the admission under limited capacity.
 */
import type { Random } from '@wisteriavalve/common'
import type { Placement } from './placement.js'
import type { RoutingState } from './targets.js'

export type ScarceRequest = {
  /** Weight of the kind; a higher weight is more urgent. */
  weight: number
  serviceTimeMs: number
  objectiveEndMs: number
  deadlineMs: number
  /** Identifies a request that its caller sends again on the same connection; undefined if it is unknown. */
  identity: () => string | undefined
  /** Plans again at once. Called when a slot was found that this request takes before less urgent ones. */
  resume: () => void
}

export type Refused = Extract<Placement, { step: 'refuse' }>

/** Limits on the placement of a request. */
export type SearchLimits = {
  /** Slots of a target that stay free for more urgent requests. */
  reservedShare: number
  /** Whether the request takes a slot that a fresh report shows, or is refused. */
  isThrottled: boolean
  /** Maximum number of probes between two waits. */
  probesMax: number
  /** Whether targets without a recent report are taken to be full. */
  needsReport: boolean
  /** Whether a slot may be expected before the objective can no longer be met. */
  canWait: boolean
}

/** Search of one request for a target. */
export type Search = {
  limits: (nowMs: number) => SearchLimits
  recordWait: (nowMs: number) => void
  /** Resumes a more urgent request that waits on this node; false if there is none. */
  yieldToMoreUrgent: () => boolean
  recordSent: (nowMs: number) => void
  /** Completes a refusal because of load with the time to come back and the data of the decision. */
  refuse: (refusal: Refused, nowMs: number) => Refused
  /** Ends a search whose request ended otherwise. Further calls have no effect. */
  end: () => void
}

export type Scarcity = {
  /** @returns a refusal for a request that is repeated at once after its refusal */
  begin: (request: ScarceRequest, routing: RoutingState, nowMs: number, random: Random) => Search | Refused
  /** Records that a request of this weight was sent in vain: it failed at its targets, and no retry follows. */
  recordTaken: (weight: number, nowMs: number) => void
  /** Share of the load, from 0 to 1, that is refused because of the load. */
  pressure: (nowMs: number) => number
  /** Refused requests by weight. */
  refusals: () => ReadonlyMap<number, number>
}
