/**
 * Updates the state of a target from the outcomes of attempts and probes.
 */
import { DRAIN_HOLD_MS, PROBATION_RESPONSES } from './constants.js'
import { avoidTarget, lowerLimit, raiseLimit } from './concurrency-limit.js'
import { applyReport } from './load-estimate.js'
import { ejectIfFailing, dispatchHealthEvent, type TableCore } from './table-core.js'
import { confirmRemoval } from './target-list.js'
import { addLatency, addOutcome, addPenalty } from './target-state.js'
import type { AttemptFailure, AttemptOutcome, DrainSource, ProbeResult, TargetState } from './types.js'

const SLOW_QUANTILE = 0.99
/** Above this share of timeouts over the service, timeouts are attributed to overload and do not eject targets. */
const TIMEOUT_SHARE_MAX = 0.3
const TIMEOUT_SHARE_WEIGHT = 0.02

const isTimeout = (outcome: AttemptOutcome): boolean => outcome === 'timeout' || outcome === 'no-progress'

/**
 * A timeout that occurs earlier than a slow response would arrive is caused by the
 * caller's short deadline. Callers must not be able to eject targets in this way.
 */
const isTargetFailure = (core: TableCore, failure: AttemptFailure, durationMs: number): boolean => {
  if (failure === 'cancelled' || failure === 'refused') return false
  return !isTimeout(failure) || (durationMs >= core.routing.slowLatencyMs && core.timeoutShare < TIMEOUT_SHARE_MAX)
}

export const applyFirstByte = (core: TableCore, state: TargetState, firstByteMs: number, nowMs: number): void => {
  const { routing } = core
  addLatency(state, firstByteMs, nowMs)
  state.firstBytes.add(firstByteMs)
  core.firstBytes.add(firstByteMs)
  routing.usualLatencyMs = core.firstBytes.quantile(0.5) ?? routing.usualLatencyMs ?? firstByteMs
  routing.slowLatencyMs = core.firstBytes.quantile(SLOW_QUANTILE) ?? routing.slowLatencyMs
  raiseLimit(state, firstByteMs, routing.usualLatencyMs, core.options.connectionShare)
}

const applyResponse = (core: TableCore, state: TargetState, nowMs: number): void => {
  addOutcome(state, false)
  state.consecutiveRefusals = 0
  state.avoidUntilMs = -Infinity
  state.lastResponseMs = nowMs
  // Without load reports, a response is the only evidence that the target is not congested.
  if (!state.reportsLoad) core.serviceLimit.record(false, core.inFlight + 1, nowMs)
  if (!state.pendingNote) state.pendingNote = { observation: 'answering', atMs: nowMs }
  if (state.health === 'probation' && state.consecutiveResponses >= PROBATION_RESPONSES) dispatchHealthEvent(core, state, { type: 'PASSED', nowMs })
}

export const applyFailure = (core: TableCore, state: TargetState, failure: AttemptFailure, durationMs: number, nowMs: number): void => {
  if (failure === 'cancelled') return
  const slowMs = Math.max(durationMs, core.routing.slowLatencyMs)
  if (failure === 'refused' || failure === 'connect-failed') avoidTarget(state, nowMs)
  if (failure === 'refused') {
    lowerLimit(state, nowMs)
    core.serviceLimit.record(true, core.inFlight + 1, nowMs)
  }
  // A fast failure counts as a slow response; otherwise the target would look idle.
  addLatency(state, slowMs, nowMs)
  addPenalty(state, 1, slowMs, nowMs)
  if (!isTargetFailure(core, failure, durationMs)) return
  addOutcome(state, true)
  state.lastFailureMs = nowMs
  const before = state.health
  ejectIfFailing(core, state, nowMs)
  const isUnreachable = failure === 'connect-failed' || failure === 'reset'
  if (isUnreachable && before !== 'ejected' && state.health === 'ejected') state.pendingNote = { observation: 'dead', atMs: nowMs }
  confirmRemoval(core, state, isUnreachable, nowMs)
}

export const applyOutcome = (core: TableCore, state: TargetState, outcome: AttemptOutcome, durationMs: number, nowMs: number): void => {
  if (outcome !== 'cancelled') {
    core.timeoutShare += TIMEOUT_SHARE_WEIGHT * ((isTimeout(outcome) ? 1 : 0) - core.timeoutShare)
  }
  if (outcome === 'ok') applyResponse(core, state, nowMs)
  else applyFailure(core, state, outcome, durationMs, nowMs)
  if (state.health === 'draining') confirmRemoval(core, state, false, nowMs)
}

/** @param observedMs time at which the target was observed draining */
export const applyDraining = (core: TableCore, state: TargetState, source: DrainSource, observedMs: number, nowMs: number): void => {
  if (state.health === 'gone') return
  if (source === 'response') state.hasStatedDraining = true
  const isNew = state.health !== 'draining'
  state.lastDrainObservedMs = Math.max(state.lastDrainObservedMs, observedMs)
  dispatchHealthEvent(core, state, { type: 'DRAIN', source, nowMs })
  if (isNew && source !== 'peer') state.pendingNote = { observation: 'draining', atMs: observedMs }
}

const applyRestart = (core: TableCore, state: TargetState, nowMs: number): void => {
  if (nowMs - state.lastDrainObservedMs < DRAIN_HOLD_MS) return
  dispatchHealthEvent(core, state, { type: 'RESTARTED', reason: 'reports ready again after draining; slow start', nowMs })
}

/** A successful probe does not reset the failure counts of requests; a failed probe adds to them. */
export const applyProbe = (core: TableCore, state: TargetState, result: ProbeResult, nowMs: number): void => {
  if (!result.ok) {
    applyFailure(core, state, result.failure, 0, nowMs)
    return
  }
  if (result.state === 'draining') applyDraining(core, state, 'health-endpoint', nowMs, nowMs)
  else if (state.health === 'draining') applyRestart(core, state, nowMs)
  applyReport(state, result.load, core.routing, core.options.slotsPerTarget, nowMs)
}
