/**
 * What an attempt's outcome or a probe says about a target.
 */
import { DRAIN_FORGET_MS, PROBATION_ANSWERS } from './constants.js'
import { avoidTarget, lowerLimit, raiseLimit } from './concurrency-limit.js'
import { takeReport } from './load-estimate.js'
import { judgeOutcomes, sendHealth, type TableCore } from './table-core.js'
import { confirmDropped } from './target-list.js'
import { addLatency, addOutcome, addPenalty } from './target-state.js'
import type { AttemptFailure, AttemptOutcome, DrainSource, ProbeResult, TargetState } from './types.js'

const SLOW_QUANTILE = 0.99
/** Above this share of timeouts over the service, timeouts are the load's fault and eject nobody. */
const TIMEOUT_SHARE_MAX = 0.3
const TIMEOUT_SHARE_WEIGHT = 0.02

const isTimeout = (outcome: AttemptOutcome): boolean => outcome === 'timeout' || outcome === 'no-progress'

/**
 * A timeout that came sooner than a slow answer would is due to the caller's
 * short deadline. Callers must not be able to eject targets in this way.
 */
const isTargetFailure = (core: TableCore, failure: AttemptFailure, durationMs: number): boolean => {
  if (failure === 'cancelled' || failure === 'refused') return false
  return !isTimeout(failure) || (durationMs >= core.routing.slowLatencyMs && core.timeoutShare < TIMEOUT_SHARE_MAX)
}

export const takeFirstByte = (core: TableCore, state: TargetState, firstByteMs: number, nowMs: number): void => {
  const { routing } = core
  addLatency(state, firstByteMs, nowMs)
  state.firstBytes.add(firstByteMs)
  core.firstBytes.add(firstByteMs)
  routing.usualLatencyMs = core.firstBytes.quantile(0.5) ?? routing.usualLatencyMs ?? firstByteMs
  routing.slowLatencyMs = core.firstBytes.quantile(SLOW_QUANTILE) ?? routing.slowLatencyMs
  raiseLimit(state, firstByteMs, routing.usualLatencyMs, core.options.connectionShare)
}

const takeAnswer = (core: TableCore, state: TargetState, nowMs: number): void => {
  addOutcome(state, false)
  state.refusalsInRow = 0
  state.avoidUntilMs = -Infinity
  state.lastAnswerMs = nowMs
  // Without reports, an answer is the only sign that the target takes more.
  if (!state.reportsLoad) core.serviceLimit.note(false, core.inFlight + 1, nowMs)
  if (!state.note) state.note = { observation: 'answering', atMs: nowMs }
  if (state.health === 'probation' && state.answersInRow >= PROBATION_ANSWERS) sendHealth(core, state, { type: 'PASSED', nowMs })
}

export const takeFailure = (core: TableCore, state: TargetState, failure: AttemptFailure, durationMs: number, nowMs: number): void => {
  if (failure === 'cancelled') return
  const slowMs = Math.max(durationMs, core.routing.slowLatencyMs)
  if (failure === 'refused' || failure === 'connect-failed') avoidTarget(state, nowMs)
  if (failure === 'refused') {
    lowerLimit(state, nowMs)
    core.serviceLimit.note(true, core.inFlight + 1, nowMs)
  }
  // A fast failure is scored as a slow answer, so that the target does not look idle.
  addLatency(state, slowMs, nowMs)
  addPenalty(state, 1, slowMs, nowMs)
  if (!isTargetFailure(core, failure, durationMs)) return
  addOutcome(state, true)
  state.lastFailureMs = nowMs
  const before = state.health
  judgeOutcomes(core, state, nowMs)
  const isUnreachable = failure === 'connect-failed' || failure === 'reset'
  if (isUnreachable && before !== 'ejected' && state.health === 'ejected') state.note = { observation: 'dead', atMs: nowMs }
  confirmDropped(core, state, isUnreachable, nowMs)
}

export const takeOutcome = (core: TableCore, state: TargetState, outcome: AttemptOutcome, durationMs: number, nowMs: number): void => {
  if (outcome !== 'cancelled') {
    core.timeoutShare += TIMEOUT_SHARE_WEIGHT * ((isTimeout(outcome) ? 1 : 0) - core.timeoutShare)
  }
  if (outcome === 'ok') takeAnswer(core, state, nowMs)
  else takeFailure(core, state, outcome, durationMs, nowMs)
  if (state.health === 'draining') confirmDropped(core, state, false, nowMs)
}

/** @param observedMs when the target was seen draining */
export const takeDraining = (core: TableCore, state: TargetState, source: DrainSource, observedMs: number, nowMs: number): void => {
  if (state.health === 'gone') return
  const isNew = state.health !== 'draining'
  state.lastDrainSignMs = Math.max(state.lastDrainSignMs, observedMs)
  sendHealth(core, state, { type: 'DRAIN', source, nowMs })
  if (isNew && source !== 'peer') state.note = { observation: 'draining', atMs: observedMs }
}

const takeRestart = (core: TableCore, state: TargetState, nowMs: number): void => {
  if (nowMs - state.lastDrainSignMs < DRAIN_FORGET_MS) return
  sendHealth(core, state, { type: 'RESTARTED', reason: 'reports to be up again after draining; slow start', nowMs })
}

/** A probe never cancels failures that requests met; it only adds to them. */
export const takeProbe = (core: TableCore, state: TargetState, result: ProbeResult, nowMs: number): void => {
  if (!result.ok) {
    takeFailure(core, state, result.failure, 0, nowMs)
    return
  }
  if (result.state === 'draining') takeDraining(core, state, 'health-endpoint', nowMs, nowMs)
  else if (state.health === 'draining') takeRestart(core, state, nowMs)
  takeReport(state, result.load, core.routing, core.options.slotsPerTarget, nowMs)
}
