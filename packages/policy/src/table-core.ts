/**
 * Shared state of a target table: health transitions and the list of targets
 * that may get requests. The list is rebuilt after transitions, including timed
 * ones, and not per request.
 */
import { EJECTED_SHARE_MAX, GONE_RETENTION_MS } from './constants.js'
import { createServiceLimit, type ServiceLimit } from './concurrency-limit.js'
import { createLatencyWindow } from './latency-window.js'
import { healthOf, nextHealth, type HealthEvent } from './target-health.js'
import { clearOutcomes, ejectionReason } from './target-state.js'
import type { LatencyWindow, RoutingState, TargetState, TargetTableOptions } from './types.js'

export type TableCore = {
  options: TargetTableOptions
  states: Map<string, TargetState>
  routing: RoutingState
  firstBytes: LatencyWindow
  /** Time of the earliest timed transition. */
  nextTransitionMs: number
  isStale: boolean
  /** Share of the latest attempts of the service that timed out. */
  timeoutShare: number
  /** Attempts in flight from this node. */
  inFlight: number
  serviceLimit: ServiceLimit
}

/** Slow time to first byte that is assumed while there are too few samples. */
const SLOW_LATENCY_DEFAULT_MS = 100
const SERVICE_WINDOW_SIZE = 1024
const SERVICE_COUNT_MIN = 50

export const createTableCore = (options: TargetTableOptions): TableCore => ({
  options,
  states: new Map(),
  routing: {
    warmup: options.warmup,
    candidates: [],
    hasCold: false,
    isFailOpen: false,
    usualLatencyMs: undefined,
    slowLatencyMs: SLOW_LATENCY_DEFAULT_MS,
    meanOthersInFlight: 0,
    rotation: { next: 0 },
    scratch: []
  },
  firstBytes: createLatencyWindow(SERVICE_WINDOW_SIZE, SERVICE_COUNT_MIN),
  nextTransitionMs: Infinity,
  isStale: true,
  timeoutShare: 0,
  inFlight: 0,
  serviceLimit: createServiceLimit()
})

const applyTransition = (state: TargetState, nowMs: number): void => {
  state.health = healthOf(state.lifecycle)
  if (state.health === 'cold') state.coldSinceMs = nowMs
  if (state.health !== 'probation' && state.health !== 'cold') return
  // Earlier observations no longer describe the target.
  clearOutcomes(state)
  state.penaltyInFlight = 0
  state.latencyMs = 0
  state.latencyUpdatedMs = -Infinity
}

export const dispatchHealthEvent = (core: TableCore, state: TargetState, event: HealthEvent): void => {
  const next = nextHealth(state.lifecycle, event)
  const hasChanged = healthOf(next) !== state.health
  state.lifecycle = next
  if (!hasChanged) return
  applyTransition(state, event.nowMs)
  core.isStale = true
  core.nextTransitionMs = Math.min(core.nextTransitionMs, next.context.untilMs)
  core.options.onHealth?.(state.target.id, state.health, next.context.reason, event.nowMs)
}

/** Whether the target is in a zone whose targets must get no requests. */
export const isEvacuated = ({ options: { evacuatedZones } }: TableCore, { target }: TargetState): boolean => evacuatedZones?.has(target.zone) === true

const isAvailable = ({ health }: TargetState): boolean => health === 'cold' || health === 'ready' || health === 'probation'

const rebuildCandidates = (core: TableCore): void => {
  const all = [...core.states.values()].filter(state => !isEvacuated(core, state))
  const available = all.filter(isAvailable)
  core.routing.isFailOpen = available.length === 0
  core.routing.candidates = available.length > 0 ? available : all.filter(({ health }) => health === 'ejected')
  const coldCount = available.filter(({ health }) => health === 'cold').length
  core.routing.hasCold = coldCount > 0 && coldCount < available.length
  core.isStale = false
}

const isExpired = (state: TargetState, nowMs: number): boolean =>
  state.health === 'gone' && nowMs - state.lifecycle.context.sinceMs > GONE_RETENTION_MS

/** Runs the timed transitions that are due, and deletes targets that have been gone for long. */
const runDueTransitions = (core: TableCore, nowMs: number): void => {
  core.nextTransitionMs = Infinity
  for (const state of core.states.values()) {
    if (state.lifecycle.context.untilMs <= nowMs) dispatchHealthEvent(core, state, { type: 'TIME_OVER', nowMs })
    core.nextTransitionMs = Math.min(core.nextTransitionMs, state.lifecycle.context.untilMs)
    if (isExpired(state, nowMs)) core.states.delete(state.target.id)
  }
}

/** State for the policies, after all timed transitions up to nowMs. */
export const currentRouting = (core: TableCore, nowMs: number): RoutingState => {
  if (nowMs >= core.nextTransitionMs) runDueTransitions(core, nowMs)
  if (core.isStale) rebuildCandidates(core)
  return core.routing
}

const isPresent = ({ health }: TargetState): boolean => health !== 'gone' && health !== 'draining'

/**
 * Beyond the maximum share no further target is ejected, since the remaining
 * targets would be overloaded. The failing target stays in use with a poor score.
 */
const canEject = (core: TableCore): boolean => {
  const present = [...core.states.values()].filter(state => isPresent(state) && !isEvacuated(core, state))
  const ejected = present.filter(({ health }) => health === 'ejected').length
  return ejected + 1 <= EJECTED_SHARE_MAX * present.length
}

/** Ejects the target if its outcomes require it and the ejected share allows it. */
export const ejectIfFailing = (core: TableCore, state: TargetState, nowMs: number): void => {
  if (!isAvailable(state)) return
  const reason = state.health === 'probation' && state.consecutiveFailures > 0
    ? 'failed a test request after its ejection'
    : ejectionReason(state)
  if (reason !== undefined && canEject(core)) dispatchHealthEvent(core, state, { type: 'EJECT', reason, nowMs })
}
