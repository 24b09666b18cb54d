/**
 * Types of what a node knows of the targets of a service.
 */
import type { LimitStatement, ListedTarget } from '@wisteriavalve/common'
import type { Target, TargetNote, TargetStatus } from '@wisteriavalve/schema'
import type { StatedLimit } from '../request-limit.js'
import type { HealthSnapshot } from '../target-health.js'
import type { WarmupOptions, WarmupReason } from '../warmup.js'
import type { ZoneRestriction } from '../zone-limits.js'

export type TargetHealth = TargetStatus['health']

/** Source of the observation that a target is draining. */
export type DrainSource = 'response' | 'health-endpoint' | 'vm-list' | 'peer' | 'other-server'

/** How an attempt ended when it was not answered completely. */
export type AttemptFailure =
  | 'connect-failed' // no connection was opened: not run
  | 'refused' // the backend server reported that it did not run the request
  | 'reset' // the connection was lost after the request was sent
  | 'timeout' // the deadline passed
  | 'no-progress' // no byte was sent or received for longer than the limit
  | 'error-status' // a complete response with status 500 or above
  | 'cancelled' // the caller or a faster hedge ended the attempt; not evidence about the target

export type AttemptOutcome = 'ok' | AttemptFailure

/** Load reported by a target; each field is optional. */
export type LoadReport = {
  inFlight?: number
  slots?: number
  utilization?: number
  /** Ratio of the current to the usual processing time on the target's VM at the time of the report. */
  slowdown?: number
}

export type ProbeResult =
  | { ok: true, state: 'ready' | 'draining' | 'starting', load: LoadReport, latencyMs: number }
  | { ok: false, failure: AttemptFailure }

export type TargetTableOptions = {
  service: string
  slotsPerTarget: number
  /** Maximum number of connections of this node to one target; upper bound of the concurrency limit. */
  connectionShare: number
  /** Zones whose targets must get no requests; absent: none. */
  evacuatedZones?: ReadonlySet<string>
  /** Absent if the service has no warm-up. */
  warmup?: WarmupOptions | undefined
  /** Called when a target becomes cold or warm in the view of this node. */
  onWarmup?: (targetId: string, isCold: boolean, reason: WarmupReason) => void
  /** Called on each change of a target's health. */
  onHealth?: (targetId: string, health: TargetHealth, reason: string, nowMs: number) => void
  /** Called when a target states a request limit for the first time, changes it, or has ended it. */
  onRequestLimit?: (targetId: string, limitPerS: number | undefined) => void
  /** Called when a target asked this node or a peer to be left alone. */
  onPause?: (targetId: string, pauseMs: number) => void
}

/**
 * State of all targets of one service as observed by this node.
 * An attempt is recorded by recordStart, at most one recordFirstByte, and exactly one recordOutcome.
 */
export type TargetTable = {
  setTargets: (targets: readonly ListedTarget[], nowMs: number) => void
  /** Applies new sizes and keeps all that is known of the targets. */
  resize: (sizes: Pick<TargetTableOptions, 'slotsPerTarget' | 'connectionShare' | 'warmup'>) => void
  setEvacuatedZones: (zones: ReadonlySet<string>) => void
  isEvacuated: (targetId: string) => boolean
  /** Why the zones leave no target for a request; undefined if a target in use is in a zone that it may reach. */
  zoneObstacle: (restriction: ZoneRestriction) => string | undefined
  recordDraining: (targetId: string, source: DrainSource, nowMs: number) => void
  recordStart: (targetId: string, nowMs: number) => void
  recordFirstByte: (targetId: string, firstByteMs: number, nowMs: number) => void
  recordOutcome: (targetId: string, outcome: AttemptOutcome, durationMs: number, nowMs: number) => void
  recordLoadReport: (targetId: string, report: LoadReport, nowMs: number) => void
  recordHealthProbe: (targetId: string, result: ProbeResult, nowMs: number) => void
  /**
   * A load probe got no response or an error response.
   * @param isUnreachable the target did not accept the connection
   */
  recordLoadProbeFailure: (targetId: string, nowMs: number, isUnreachable?: boolean) => void
  /** A load probe was answered without a load report. */
  recordLoadProbeWithoutReport: (targetId: string, nowMs: number) => void
  /**
   * Records what a response to a request says about the request limit of its target.
   * @param writtenMs time at which the request was written
   */
  recordStatedLimit: (targetId: string, stated: StatedLimit, writtenMs: number, nowMs: number) => void
  /** Requests per second that a target accepts from all nodes together; undefined without a limit. */
  requestLimitPerS: (targetId: string) => number | undefined
  /** Records that a target asked in a response to be left alone for a time. */
  recordPause: (targetId: string, pauseMs: number, nowMs: number) => void
  isPaused: (targetId: string, nowMs: number) => boolean
  /** What this node knows of the limit of a target, to be told to the permit owner. */
  limitStatement: (targetId: string, nowMs: number) => LimitStatement
  /** Applies what the permit owner knows of the limit. */
  recordLimitStatement: (targetId: string, statement: LimitStatement, nowMs: number) => void
  /**
   * Records that no permit for a request to the target is issued before the given time has passed.
   * @param askAgainMs time after which a request may ask nevertheless
   */
  recordPermitDenied: (targetId: string, retryAfterMs: number, nowMs: number, askAgainMs?: number) => void
  /** Time before which no permit is expected; -Infinity if nothing is known. */
  nextPermitMs: (targetId: string) => number
  /**
   * Records a health response.
   * @param remainingMs time for which the target stays cold; undefined if the response does not state it
   */
  recordWarmup: (targetId: string, remainingMs: number | undefined, nowMs: number) => void
  /** Assumes that the targets of a zone are cold until their health responses say otherwise. */
  expectWarmup: (zone: string, nowMs: number) => void
  /** Whether a request to the target needs a warm-up permit now. */
  needsWarmupPermit: (targetId: string, nowMs: number) => boolean
  /** Requests per second that a cold target accepts from all nodes together; 0 without a limit. */
  warmupRatePerS: () => number
  /** Records that a request asks for the warm-up permit that is due at the given time. */
  recordWarmupQuery: (targetId: string, atMs: number, nowMs: number) => void
  recordWarmupPermitDenied: (targetId: string, retryAfterMs: number, nowMs: number) => void
  /** Time before which no warm-up permit is expected; -Infinity if nothing is known. */
  nextWarmupPermitMs: (targetId: string) => number
  /** Number of cold targets in the view of this node. */
  coldCount: (nowMs: number) => number
  /** Whether load probes are useful; the targets of some services never report their load. */
  supportsLoadProbes: () => boolean
  /** Applies an observation of a peer. */
  recordPeerObservation: (note: TargetNote, nowMs: number) => void
  /** Expires all estimates after a pause of the process. */
  resumeAfterPause: (gapMs: number, nowMs: number) => void
  /** Observations to send to peers; each is returned once. */
  takeNotes: (nowMs: number) => TargetNote[]
  /** Time of the last complete response of a target to this node, for the probe planner. */
  lastResponseMs: (targetId: string) => number | undefined
  /** Maximum number of concurrent requests over all usable targets. */
  capacity: (nowMs: number) => number
  /** Time to first byte after which a hedge may be sent; undefined with too few samples. */
  hedgeDelayMs: () => number | undefined
  /** 99th percentile of the time to first byte of one target; undefined with too few samples. */
  firstByteP99Ms: (targetId: string) => number | undefined
  target: (targetId: string) => Target | undefined
  /** Slowdown in the last report of a target; 1 without a report. */
  slowdown: (targetId: string) => number
  /** @param connections open connections by target id, for the status */
  snapshot: (nowMs: number, connections?: ReadonlyMap<string, number>) => TargetStatus[]
  /** State that the policies read. Callers must not modify it. */
  routing: (nowMs: number) => RoutingState
}

/** What a node knows of the warm-up of a target; see warmup.ts. */
export type WarmupState = {
  /** End of the cold period that the target or its entry stated. */
  coldUntilMs: number
  /** Time of the last health response. */
  checkedMs: number
  /** The target may have become cold since its last health response. */
  isAssumed: boolean
  /** Whether the last event said that the target is cold. */
  isReportedCold: boolean
  /** Before this time, no warm-up permit is expected. */
  nextPermitMs: number
}

/** Mutable state of one target. The policies read only the fields of the first block. */
export type TargetState = {
  target: ListedTarget
  health: TargetHealth
  /** Start of the slow start; used while the target is cold. */
  coldSinceMs: number
  inFlight: number
  /** Start time of each request in flight, and the sum of these times. */
  startTimesMs: number[]
  startTimesSumMs: number
  /** Adaptive concurrency limit; rounded down when applied. */
  limit: number
  slots: number
  /** Load from other nodes at the time of the last report. */
  othersInFlight: number
  lastReportMs: number
  /** Slowdown in the last report; see LoadReport. */
  slowdown: number
  /** Moving average of the time to first byte; failures count as slow responses. */
  latencyMs: number
  latencyUpdatedMs: number
  /** Failed requests that still count as running. Without them a target that fails fast would look idle. */
  penaltyInFlight: number
  penaltyUpdatedMs: number

  lifecycle: HealthSnapshot
  /** No longer in the newest list of targets. */
  isUnlisted: boolean
  consecutiveFailures: number
  lastFailureMs: number
  consecutiveResponses: number
  /** Ring buffer of the last outcomes, 1 for a failure. */
  outcomes: number[]
  outcomePosition: number
  limitLoweredMs: number
  /** Refusals and failed connection attempts since the last complete response. */
  consecutiveRefusals: number
  /** Until then the target is used only when no other target is usable. */
  avoidUntilMs: number
  /** Requests per second that the target accepts from all nodes together; undefined without a limit. */
  requestLimitPerS?: number
  /** Time of the response that the limit, or its end, was taken from. */
  limitObservedMs: number
  /** The target asked to be left alone until then. */
  pausedUntilMs: number
  /** The pause was stated to this node, and peers are to be told. */
  isPauseUnshared: boolean
  /** Before this time, the permit owner issues no permit for a request to the target. */
  nextPermitMs: number
  /** From this time on, a request may ask the permit owner although no permit is due yet. */
  askAgainMs: number
  warmup: WarmupState
  /** The limit was stated for the first time, and peers are to be told. */
  isLimitUnshared: boolean
  lastResponseMs?: number
  lastDrainObservedMs: number
  /** The target itself stated that it is draining, which holds for its whole incarnation. */
  hasStatedDraining: boolean
  reportedInFlight?: number
  /** Responses of the target carry load reports. */
  reportsLoad: boolean
  firstBytes: LatencyWindow
  /** Observation to send to peers, and the time it was made. */
  pendingNote?: { observation: TargetNote['observation'], atMs: number }
  lastNoteMs: number
}

/** Window of the latest latencies, for quantiles. */
export type LatencyWindow = {
  add: (latencyMs: number) => void
  /** Undefined with fewer than the minimum number of samples. */
  quantile: (share: number) => number | undefined
  count: () => number
}

export type RoutingState = {
  /** Absent if the service has no warm-up. */
  warmup?: WarmupOptions | undefined
  /** Targets that may get requests now. */
  candidates: readonly TargetState[]
  /** Some candidate is cold and another is not. */
  hasCold: boolean
  /** No target is available, so ejected targets are used. */
  isFailOpen: boolean
  /** Median time to first byte of the service; undefined before the first response. */
  usualLatencyMs: number | undefined
  /** 99th percentile of the time to first byte of the service. */
  slowLatencyMs: number
  /** Average number of requests that other nodes have in flight on a target. */
  meanOthersInFlight: number
  /** Position of the round-robin rotation, for policies that use one. */
  rotation: { next: number }
  /** Reused array, to avoid an allocation per selection. */
  scratch: TargetState[]
}
