/**
 * Shared parts of a target table: health transitions and the list of targets
 * that may get requests. The list is rebuilt on transitions and when one falls
 * due by time, not per request.
 */
import { EJECTED_SHARE_MAX, GONE_KEPT_MS } from './constants.js'
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
  /** Earliest transition by time. */
  dueMs: number
  stale: boolean
  /** Share of the latest attempts that ended by a timeout, over the service. */
  timeoutShare: number
  /** Attempts in flight from this node. */
  inFlight: number
  serviceLimit: ServiceLimit
}

/** Time of a slow answer before any was measured. */
const SLOW_DEFAULT_MS = 100
const SERVICE_WINDOW_SIZE = 1024
const SERVICE_COUNT_MIN = 50

export const createTableCore = (options: TargetTableOptions): TableCore => ({
  options,
  states: new Map(),
  routing: {
    candidates: [],
    hasCold: false,
    failOpen: false,
    usualLatencyMs: undefined,
    slowLatencyMs: SLOW_DEFAULT_MS,
    meanOthersInFlight: 0,
    rotation: { next: 0 },
    scratch: []
  },
  firstBytes: createLatencyWindow(SERVICE_WINDOW_SIZE, SERVICE_COUNT_MIN),
  dueMs: Infinity,
  stale: true,
  timeoutShare: 0,
  inFlight: 0,
  serviceLimit: createServiceLimit()
})

const applyTransition = (state: TargetState, nowMs: number): void => {
  state.health = healthOf(state.lifecycle)
  if (state.health === 'cold') state.coldSinceMs = nowMs
  if (state.health !== 'probation' && state.health !== 'cold') return
  // What was seen before does not describe the target any more.
  clearOutcomes(state)
  state.penaltyInFlight = 0
  state.latencyMs = 0
  state.latencyUpdatedMs = -Infinity
}

export const sendHealth = (core: TableCore, state: TargetState, event: HealthEvent): void => {
  const next = nextHealth(state.lifecycle, event)
  const changed = healthOf(next) !== state.health
  state.lifecycle = next
  if (!changed) return
  applyTransition(state, event.nowMs)
  core.stale = true
  core.dueMs = Math.min(core.dueMs, next.context.untilMs)
  core.options.onHealth?.(state.target.id, state.health, next.context.reason, event.nowMs)
}

const isAvailable = ({ health }: TargetState): boolean => health === 'cold' || health === 'ready' || health === 'probation'

const rebuild = (core: TableCore): void => {
  const all = [...core.states.values()]
  const available = all.filter(isAvailable)
  core.routing.failOpen = available.length === 0
  core.routing.candidates = available.length > 0 ? available : all.filter(({ health }) => health === 'ejected')
  const coldCount = available.filter(({ health }) => health === 'cold').length
  core.routing.hasCold = coldCount > 0 && coldCount < available.length
  core.stale = false
}

const isForgettable = (state: TargetState, nowMs: number): boolean =>
  state.health === 'gone' && nowMs - state.lifecycle.context.sinceMs > GONE_KEPT_MS

/** Makes the transitions that are due by time. */
const advance = (core: TableCore, nowMs: number): void => {
  core.dueMs = Infinity
  for (const state of core.states.values()) {
    if (state.lifecycle.context.untilMs <= nowMs) sendHealth(core, state, { type: 'TIME_OVER', nowMs })
    core.dueMs = Math.min(core.dueMs, state.lifecycle.context.untilMs)
    if (isForgettable(state, nowMs)) core.states.delete(state.target.id)
  }
}

/** State for the policies, with all transitions up to nowMs made. */
export const currentRouting = (core: TableCore, nowMs: number): RoutingState => {
  if (nowMs >= core.dueMs) advance(core, nowMs)
  if (core.stale) rebuild(core)
  return core.routing
}

const isPresent = ({ health }: TargetState): boolean => health !== 'gone' && health !== 'draining'

/**
 * Beyond the allowed share no further target is ejected: it stays in use with
 * its poor score, since fewer targets would overload the rest.
 */
const mayEject = (core: TableCore): boolean => {
  const present = [...core.states.values()].filter(isPresent)
  const ejected = present.filter(({ health }) => health === 'ejected').length
  return ejected + 1 <= EJECTED_SHARE_MAX * present.length
}

/** Ejects the target if its outcomes call for it. */
export const judgeOutcomes = (core: TableCore, state: TargetState, nowMs: number): void => {
  if (!isAvailable(state)) return
  const reason = state.health === 'probation' && state.failuresInRow > 0
    ? 'failed a test request after its ejection'
    : ejectionReason(state)
  if (reason !== undefined && mayEject(core)) sendHealth(core, state, { type: 'EJECT', reason, nowMs })
}
