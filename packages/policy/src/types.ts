/**
 * Types of the decisions for a request.
 */
import type { HealthSnapshot } from './target-health.js'
import type { ListedTarget, Random } from '@wisteriavalve/common'
import type { Kind, ServiceConfiguration, Target, TargetNote, TargetStatus } from '@wisteriavalve/schema'

export type PolicyName = 'round-robin' | 'random' | 'least-in-flight' | 'two-choices' | 'prequal' | 'adaptive'

export type TargetHealth = TargetStatus['health']

/** Where a sign that a target is draining came from. */
export type DrainSource = 'response' | 'health-endpoint' | 'vm-list' | 'peer' | 'other-server'

/** How an attempt ended when it was not answered completely. */
export type AttemptFailure =
  | 'connect-failed' // no connection was opened: not run
  | 'refused' // the backend server said that it did not run the request
  | 'reset' // the connection was lost after the request was sent
  | 'timeout' // the deadline passed
  | 'no-progress' // no byte moved for longer than the limit
  | 'error-status' // a complete answer with status 500 or above
  | 'cancelled' // the caller or a faster hedge ended the attempt; says nothing about the target

export type AttemptOutcome = 'ok' | AttemptFailure

export type RequestHead = { method: string, path: string, host?: string }

/** Services of a configuration, indexed for the request path. */
export type ServiceIndex = { classify: (head: RequestHead) => Classified }

export type Classified =
  | { ok: true, service: ServiceConfiguration, kind: Kind, known: boolean }
  | { ok: false, error: 'service-unknown' }

/** Load that a target reports of itself; each part is optional. */
export type LoadReport = {
  inFlight?: number
  slots?: number
  utilization?: number
  /** How many times the usual time work takes on the target's VM at the moment of the report. */
  slowdown?: number
}

export type ProbeResult =
  | { ok: true, state: 'ready' | 'draining' | 'starting', load: LoadReport, latencyMs: number }
  | { ok: false, failure: AttemptFailure }

export type TargetTableOptions = {
  service: string
  slotsPerTarget: number
  /** Connections that this node may hold to one target; upper bound of the concurrency limit. */
  connectionShare: number
  /** Called on each change of a target's health. */
  onHealth?: (targetId: string, health: TargetHealth, reason: string, nowMs: number) => void
}

/**
 * State of all targets of one service as this node sees them.
 * An attempt is noted by noteStarted, at most one noteFirstByte, and exactly one noteFinished.
 */
export type TargetTable = {
  setTargets: (targets: readonly ListedTarget[], nowMs: number) => void
  noteDraining: (targetId: string, source: DrainSource, nowMs: number) => void
  noteStarted: (targetId: string, nowMs: number) => void
  noteFirstByte: (targetId: string, firstByteMs: number, nowMs: number) => void
  noteFinished: (targetId: string, outcome: AttemptOutcome, durationMs: number, nowMs: number) => void
  noteReport: (targetId: string, report: LoadReport, nowMs: number) => void
  noteProbe: (targetId: string, result: ProbeResult, nowMs: number) => void
  /** A target did not answer when it was asked for its load, or said that it is not well. */
  noteUnwell: (targetId: string, nowMs: number) => void
  /** A target answered when it was asked for its load, without telling it. */
  noteUntold: (targetId: string, nowMs: number) => void
  /** Whether asking targets for their load is of use; some services never tell it. */
  tellsLoad: () => boolean
  /** Takes over what a peer observed. */
  notePeer: (note: TargetNote, nowMs: number) => void
  /** Ages all estimates after a pause of the process. */
  wake: (gapMs: number, nowMs: number) => void
  /** Observations that peers should know, each given out once. */
  takeNotes: (nowMs: number) => TargetNote[]
  /** Time of the last complete answer of a target to this node, for the probe planner. */
  lastAnswerMs: (targetId: string) => number | undefined
  /** Requests that may run at a time over all usable targets. */
  capacity: (nowMs: number) => number
  /** Time to first byte after which a hedge is worth sending; undefined with too few samples. */
  hedgeDelayMs: () => number | undefined
  /** 99th percentile of the time to first byte of one target; undefined with too few samples. */
  firstByteP99Ms: (targetId: string) => number | undefined
  target: (targetId: string) => Target | undefined
  /** How many times the usual time work takes on a target, by its last report. */
  slowdown: (targetId: string) => number
  /** @param connections open connections by target id, for the status */
  snapshot: (nowMs: number, connections?: ReadonlyMap<string, number>) => TargetStatus[]
  /** State that the policies read; not to be changed from outside. */
  routing: (nowMs: number) => RoutingState
}

/** Mutable record of one target; the first part is what policies read. */
export type TargetState = {
  target: ListedTarget
  health: TargetHealth
  /** Start of the slow start; used while the target is cold. */
  coldSinceMs: number
  inFlight: number
  /** Start of each request in flight, and their sum. */
  startsMs: number[]
  startsMsSum: number
  /** Adaptive concurrency limit; the whole part of it counts. */
  limit: number
  slots: number
  /** Load from other nodes at the time of the last report. */
  othersInFlight: number
  reportMs: number
  /** How many times the usual time work took at the time of the last report. */
  slowdown: number
  /** Moving average of the time to first byte, failures counted as slow answers. */
  latencyMs: number
  latencyUpdatedMs: number
  /** Failed requests that count as still running, so that a fast failure does not look like idleness. */
  penaltyInFlight: number
  penaltyMs: number

  lifecycle: HealthSnapshot
  /** Not in the newest list of targets any more. */
  dropped: boolean
  failuresInRow: number
  lastFailureMs: number
  answersInRow: number
  /** Last outcomes, 1 for a failure; a ring. */
  outcomes: number[]
  outcomePosition: number
  limitLoweredMs: number
  /** Refusals and connections that did not open since the last answer. */
  refusalsInRow: number
  /** Until then the target is used only when no other one can be. */
  avoidUntilMs: number
  lastAnswerMs?: number
  lastDrainSignMs: number
  reportedInFlight?: number
  /** Its answers carry load reports. */
  reportsLoad: boolean
  firstBytes: LatencyWindow
  /** Observation to tell peers, and when it was made. */
  note?: { observation: TargetNote['observation'], atMs: number }
  notedMs: number
}

/** Latest latencies, for quantiles. */
export type LatencyWindow = {
  add: (latencyMs: number) => void
  /** Undefined with fewer than the least number of samples. */
  quantile: (share: number) => number | undefined
  count: () => number
}

export type RoutingState = {
  /** Targets that may get requests now. */
  candidates: readonly TargetState[]
  /** Some candidate is cold and another is not. */
  hasCold: boolean
  /** All targets but draining ones are used since no other is left. */
  failOpen: boolean
  /** Usual time to first byte of the service; undefined before the first answer. */
  usualLatencyMs: number | undefined
  /** Slow but still usual time to first byte of the service. */
  slowLatencyMs: number
  /** Load that other nodes put on an average target. */
  meanOthersInFlight: number
  /** Position of the rotation, for policies that use one. */
  rotation: { next: number }
  /** Reused array, so that a selection allocates little. */
  scratch: TargetState[]
}

export type PolicyContext = { routing: RoutingState, zone: string, nowMs: number, random: Random }

export type Pick = { state: TargetState, reason: string }

/** Picks one of the eligible targets; there is at least one. */
export type Policy = (eligible: readonly TargetState[], context: PolicyContext) => Pick

export type SelectionRequest = {
  /** Availability zone of this node. */
  zone: string
  /** Targets that this request has tried already. */
  exclude: ReadonlySet<string>
  /** Requests that are not idempotent are kept away from targets on probation. Taken as true when left out. */
  idempotent?: boolean
}

export type Selection =
  | { ok: true, targetId: string, reason: string }
  /** no-target: none can be used; all-busy: each usable one is at its limit. */
  | { ok: false, error: 'no-target' | 'all-busy' }

export type AdmissionRequest = {
  id: string
  weight: number
  /** Monotonic ms; after it the answer is of no use. */
  deadlineMs: number
  /** Called in the same turn in which the request leaves the queue to run. */
  run: () => void
  /** Called when the request is refused after it was queued. It will never run. */
  refuse: (refusal: Refusal) => void
}

export type Refusal = {
  result: 'queue-full' | 'deadline-unreachable' | 'deadline-passed-in-queue' | 'process-paused'
  /** Time after which a new attempt makes sense. */
  retryAfterMs: number
}

export type AdmissionOptions = {
  queueLengthMax: number
  /** Requests that may run at a time; asked on each decision since limits adapt. */
  capacity: (nowMs: number) => number
}

export type Admission = {
  offer: (request: AdmissionRequest, nowMs: number) => { decision: 'run' } | { decision: 'queued' } | { decision: 'refused', refusal: Refusal }
  /** Frees the place of a request that ran; may start queued ones. */
  release: (serviceTimeMs: number, nowMs: number) => void
  /** Takes a request out of the queue; false when it is not queued. */
  cancel: (id: string) => boolean
  /** Refuses queued requests whose deadline passed or cannot be met. */
  expire: (nowMs: number) => void
  runningCount: () => number
  queuedCount: () => number
  /** Share of the capacity in use, in percent; above 100 when requests wait. */
  loadPercent: (nowMs: number) => number
}

/** Extra attempts that a node may make of one service. */
export type RetryLimits = {
  /**
   * @param requestCount requests of the window
   * @param hedgeCount hedges of the window
   */
  retriesMax: (requestCount: number, hedgeCount: number) => number
  /**
   * @param requestCount requests of the window
   * @param retryCount retries of the window
   */
  hedgesMax: (requestCount: number, retryCount: number) => number
}

export type RepeatPurpose = 'retry' | 'hedge'

export type RetryBudget = {
  noteRequest: (nowMs: number) => void
  /** Takes one extra attempt from the budget; false when it is used up. */
  tryTake: (purpose: RepeatPurpose, nowMs: number) => boolean
  /** Extra attempts that the budget allows at this moment. */
  left: (purpose: RepeatPurpose, nowMs: number) => number
}

export type RetryState = {
  idempotent: boolean
  /** True while the request body can be sent again from its beginning. */
  bodyReplayable: boolean
  /** True once response bytes went to the caller. */
  responseStarted: boolean
  deadlineMs: number
  attempts: number
  /** Attempts that reached a target, and how many may. */
  sends?: number
  sendsMax?: number
  /** Extra attempts that this node keeps for itself; see splitRetryAllowance. */
  allowance: number
}

export type HedgeState = {
  idempotent: boolean
  bodyReplayable: boolean
  firstByteSeen: boolean
  /** A hedge was sent already. */
  hedged: boolean
  /** When the first attempt was sent. */
  startedMs: number
  deadlineMs: number
  /** Extra attempts that this node keeps for itself. */
  allowance: number
}

export type HedgeDecision =
  | { decision: 'none' }
  /** Ask again at that time. */
  | { decision: 'wait', untilMs: number }
  | { decision: 'hedge' }

export type RetryDecision =
  | { decision: 'retry' }
  | { decision: 'give-up', resultClass: 'not-run' | 'outcome-unknown' }

export type ConnectionView = {
  id: number
  openedMs: number
  /** Last time bytes arrived or were accepted. */
  lastProgressMs: number
  /** Last complete answer; undefined when it has not answered yet. */
  lastAnsweredMs?: number
  busy: boolean
  retired: boolean
  /** When the running request was sent; undefined when idle. */
  sentMs?: number
}

export type ConnectionRequest = {
  idempotent: boolean
  /** When given, the connection must have been opened or have answered after this time. */
  provenSinceMs?: number
  /** Connections that this node may hold to the target. */
  share: number
}

export type ConnectionChoice =
  | { choice: 'reuse', id: number }
  | { choice: 'open' }
  /** The share is used up; an idle connection that is not fresh enough must be closed first, when given. */
  | { choice: 'wait', closeFirst?: number }

export type CallerLimitsOptions = {
  connectionsMax: number
  requestsPerS: number
  requestBurst: number
  /** Most caller addresses that are remembered. */
  callersMax: number
}

export type CallerLimits = {
  tryOpenConnection: (address: string) => boolean
  noteConnectionClosed: (address: string) => void
  tryRequest: (address: string, nowMs: number) => { ok: true } | { ok: false, retryAfterMs: number }
}
