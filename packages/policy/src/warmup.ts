/**
 * Warm-up of targets. A cold target accepts only a few requests per second from
 * all nodes together and crashes far above that rate. Each request to it needs a
 * permit of the permit owner (packages/fleet), as does a request to a target
 * whose last health response is too old to rule out that it is cold.
 *
 * The placement answers the load of a service of which some or all targets become
 * cold at the same moment: warm targets serve what they can, cold targets get the
 * share of one target each and the overflow as far as permits may be available,
 * and the rest is refused at once.
 */
import type { PlacementRequest } from './types/placement.js'
import { isPermitPossible } from './request-limit.js'
import type { TargetState, WarmupState } from './types.js'

/** Warm-up of the targets of a service. */
export type WarmupOptions = {
  /** Time for which a target is cold after it starts. */
  durationMs: number
  /** Requests per second that a cold target accepts from all nodes together; 0: no limit. */
  ratePerS: number
  /** Time for which a health response is trusted; Infinity if targets are not probed before requests. */
  trustMs: number
}

/** Why a target is assumed to be cold or warm. */
export type WarmupReason = 'stated' | 'listed' | 'connect-failed' | 'evacuation-ended' | 'time-over'

/** A node asks at most once in this time for a permit of one target, so that waiting requests do not all ask together. */
const QUERY_INTERVAL_MS = 25
const MS_PER_S = 1_000
/** A target serves about one request in this time, so a node seldom probes more often than it would anyway. */
const RECENT_CHECK_MS = 100
/** Service time on a cold target in units of the usual service time. */
const COLD_SERVICE_TIMES = 2
/** Share of the drawn targets of the own zone that are probed because their last health response is old. */
const CHECKED_SHARE = 0.25
/** Minimum time after which refused callers return. */
const RETRY_AFTER_MIN_MS = 100

export const createWarmupState = (): WarmupState =>
  ({ coldUntilMs: -Infinity, checkedMs: -Infinity, isAssumed: false, isReportedCold: false, nextPermitMs: -Infinity })

const isStatedCold = ({ warmup }: TargetState, nowMs: number): boolean => nowMs < warmup.coldUntilMs

/** Whether the target is cold, or is assumed to be until its next health response. */
export const isCold = (state: TargetState, nowMs: number): boolean => state.warmup.isAssumed || isStatedCold(state, nowMs)

const isUnchecked = ({ warmup }: TargetState, { trustMs }: WarmupOptions, nowMs: number): boolean =>
  warmup.isAssumed || nowMs - warmup.checkedMs > trustMs

export const needsWarmupPermit = (state: TargetState, options: WarmupOptions | undefined, nowMs: number): boolean =>
  options !== undefined && options.ratePerS > 0 && (isStatedCold(state, nowMs) || isUnchecked(state, options, nowMs))

/**
 * Whether the last health response is recent enough to choose the target by a load
 * report. Reports of responses alone would let a busy node use a target that has
 * become cold for the whole time of trust.
 */
export const isRecentlyChecked = ({ warmup }: TargetState, options: WarmupOptions | undefined, nowMs: number): boolean =>
  options === undefined || options.ratePerS === 0 || options.trustMs === Infinity || nowMs - warmup.checkedMs <= RECENT_CHECK_MS

/** Whether a permit may be available after the given wait. */
export const isWarmupPermitPossible = ({ warmup }: TargetState, waitMaxMs: number, nowMs: number): boolean => warmup.nextPermitMs - nowMs <= waitMaxMs

/**
 * Applies a health response. One without a statement ends only an assumption,
 * because a stated time runs out by itself.
 */
export const applyWarmup = ({ warmup }: TargetState, remainingMs: number | undefined, nowMs: number): void => {
  warmup.checkedMs = nowMs
  warmup.isAssumed = false
  if (remainingMs !== undefined) warmup.coldUntilMs = nowMs + remainingMs
}

/** Applies the entry of a target. An entry with a known remaining time is a repetition. */
export const applyListedWarmup = ({ target, warmup }: TargetState, previousLeftMs: number | undefined, nowMs: number): void => {
  const { warmupLeftMs = 0 } = target
  if (warmupLeftMs <= 0 || warmupLeftMs === previousLeftMs) return
  warmup.coldUntilMs = Math.max(warmup.coldUntilMs, nowMs + warmupLeftMs)
}

/** Applies the start of a target that was not listed before. With load probes, its health responses tell whether it is cold. */
export const applyStart = ({ warmup }: TargetState, { durationMs, trustMs }: WarmupOptions, nowMs: number): void => {
  if (trustMs === Infinity) warmup.coldUntilMs = nowMs + durationMs
}

/** To be called when the target may have become cold unnoticed. */
export const assumeCold = ({ warmup }: TargetState): void => {
  warmup.isAssumed = true
  warmup.checkedMs = -Infinity
}

/**
 * Records that a request asks for a permit that is due now or later. The following
 * requests expect the permit after a later one, so that few of them ask in vain.
 */
export const recordWarmupQuery = ({ warmup }: TargetState, options: WarmupOptions | undefined, atMs: number, nowMs: number): void => {
  const gapMs = atMs > nowMs && options !== undefined && options.ratePerS > 0 ? MS_PER_S / options.ratePerS : QUERY_INTERVAL_MS
  warmup.nextPermitMs = Math.max(warmup.nextPermitMs, atMs + gapMs)
}

export type WarmupSplit = {
  /** Targets that get a request only with a permit. */
  cold: TargetState[]
  /** Warm targets, and targets that a probe may show to be warm. */
  open: TargetState[]
}

export const splitByWarmup = (usable: readonly TargetState[], options: WarmupOptions, { probed, canProbe, requiresFreeAndFast }: PlacementRequest, nowMs: number): WarmupSplit => {
  const split: WarmupSplit = { cold: [], open: [] }
  for (const state of usable) {
    const { id } = state.target
    const isProbeUseful = !isStatedCold(state, nowMs) && !probed.has(id) && canProbe(id)
    const isOpen = isProbeUseful || !(needsWarmupPermit(state, options, nowMs) || (requiresFreeAndFast && isCold(state, nowMs)))
    split[isOpen ? 'open' : 'cold'].push(state)
  }
  return split
}

const hasFreeSlot = ({ inFlight, othersInFlight, slots }: TargetState): boolean => inFlight + othersInFlight < slots

const isPermittedNow = (state: TargetState, nowMs: number): boolean =>
  isWarmupPermitPossible(state, 0, nowMs) && isPermitPossible(state, 0, nowMs) && hasFreeSlot(state) && nowMs >= state.avoidUntilMs

const coldServiceTimeMs = ({ serviceTimeMs }: PlacementRequest): number => COLD_SERVICE_TIMES * serviceTimeMs

/** Whether the request meets its objective on a cold target. */
const fitsObjective = (request: PlacementRequest, nowMs: number): boolean =>
  nowMs + coldServiceTimeMs(request) <= Math.min(request.objectiveEndMs, request.deadlineMs)

/**
 * The share of one target. The draw of the request selects one of all targets of
 * the service. If it is cold, it takes the request. If it is assumed to be cold, it
 * is probed, because nodes that have other targets to use would not learn whether
 * it is. Of the targets of the own zone whose last health response is only old, a
 * part is probed, because one can become cold unnoticed; probing each of them would
 * cost many requests a connection.
 */
export const chooseColdShare = (
  usable: readonly TargetState[], options: WarmupOptions, request: PlacementRequest, nowMs: number
): { step: 'send' | 'probe', state: TargetState } | undefined => {
  if (request.requiresFreeAndFast || request.warmupDraw === undefined || !fitsObjective(request, nowMs)) return undefined
  const position = request.warmupDraw * usable.length
  const state = usable[Math.floor(position)]
  if (!state) return undefined
  if (isStatedCold(state, nowMs)) return isPermittedNow(state, nowMs) ? { step: 'send', state } : undefined
  const { id } = state.target
  const isDueForCheck = options.ratePerS > 0 && state.target.zone === request.zone && position % 1 < CHECKED_SHARE && isUnchecked(state, options, nowMs)
  return (state.warmup.isAssumed || isDueForCheck) && !request.probed.has(id) && request.canProbe(id) ? { step: 'probe', state } : undefined
}

/**
 * The cold target that takes a request which warm targets cannot serve quickly.
 * @param mustMeetObjective false if the request would otherwise be refused or be late anyway
 */
export const chooseColdOverflow = (cold: readonly TargetState[], request: PlacementRequest, mustMeetObjective: boolean, nowMs: number): TargetState | undefined => {
  if (request.requiresFreeAndFast) return undefined
  if (mustMeetObjective ? !fitsObjective(request, nowMs) : nowMs + coldServiceTimeMs(request) > request.deadlineMs) return undefined
  const permitted = cold.filter(state => isPermittedNow(state, nowMs))
  return permitted[Math.floor((request.warmupDraw ?? 0) * permitted.length)]
}

export type ColdWait =
  | { state: TargetState, permitWaitMaxMs: number }
  | { retryAfterMs: number, detail: string }

/**
 * Chooses when all targets need a permit: the one whose permit is due first, if
 * the request can wait for it and still meet its objective.
 * @param spread random number from 0 to 1 that spreads the return of refused callers
 */
export const chooseColdWait = (cold: readonly TargetState[], { permitWaitMaxMs = 0, serviceTimeMs }: Pick<PlacementRequest, 'permitWaitMaxMs' | 'serviceTimeMs'>, nowMs: number, spread: number): ColdWait => {
  const dueMs = ({ warmup, nextPermitMs }: TargetState): number => Math.max(warmup.nextPermitMs, nextPermitMs, nowMs)
  // The usual service time is reserved already.
  const waitMaxMs = permitWaitMaxMs - (COLD_SERVICE_TIMES - 1) * serviceTimeMs
  const free = cold.filter(hasFreeSlot)
  const first = (free.length > 0 ? free : cold).reduce((best, state) => dueMs(state) < dueMs(best) ? state : best)
  const dueInMs = dueMs(first) - nowMs
  if (free.length > 0 && dueInMs <= waitMaxMs) return { state: first, permitWaitMaxMs: waitMaxMs }
  const detail = `all usable targets may be cold; the next warm-up permit may be due in ${Math.round(dueInMs)} ms, at ${first.target.id}`
  return { retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, dueInMs) * (1 + spread), detail }
}
