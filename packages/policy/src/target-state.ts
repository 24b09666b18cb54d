/**
 * Record of one target: requests in flight, latency, outcomes.
 */
import type { Target } from '@wisteriavalve/schema'
import { EJECT_FAILURES_IN_ROW, EJECT_FAILURE_SHARE, OUTCOME_WINDOW, SLOW_START_MS, SLOW_START_SHARE_MIN } from './constants.js'
import { createLatencyWindow } from './latency-window.js'
import { halfLifeWeight } from './half-life.js'
import { healthOf, startHealth, type HealthInput } from './target-health.js'
import type { TargetState } from './types.js'

const LATENCY_WINDOW_SIZE = 256
const LATENCY_COUNT_MIN = 20
/** Weight of a new latency; about the last ten answers count. */
const LATENCY_WEIGHT = 0.15

export const createTargetState = (target: Target, slots: number, limit: number, health: HealthInput): TargetState => {
  const lifecycle = startHealth(health)
  return {
    target,
    health: healthOf(lifecycle),
    coldSinceMs: health.nowMs,
    inFlight: 0,
    startedMsSum: 0,
    limit,
    slots,
    othersInFlight: 0,
    reportMs: -Infinity,
    latencyMs: 0,
    latencyUpdatedMs: -Infinity,
    phantomInFlight: 0,
    phantomMs: health.nowMs,
    lifecycle,
    dropped: false,
    failuresInRow: 0,
    answersInRow: 0,
    outcomes: [],
    outcomePosition: 0,
    limitLoweredMs: -Infinity,
    lastDrainSignMs: -Infinity,
    firstBytes: createLatencyWindow(LATENCY_WINDOW_SIZE, LATENCY_COUNT_MIN),
    notedMs: -Infinity
  }
}

export const addLatency = (state: TargetState, latencyMs: number, nowMs: number): void => {
  state.latencyMs += (state.latencyUpdatedMs === -Infinity ? 1 : LATENCY_WEIGHT) * (latencyMs - state.latencyMs)
  state.latencyUpdatedMs = nowMs
}

/** @param slowMs time that a failed request counts as still running */
export const phantomAt = (state: TargetState, slowMs: number, nowMs: number): number =>
  state.phantomInFlight === 0 ? 0 : state.phantomInFlight * halfLifeWeight(nowMs - state.phantomMs, slowMs)

export const addPhantom = (state: TargetState, count: number, slowMs: number, nowMs: number): void => {
  state.phantomInFlight = phantomAt(state, slowMs, nowMs) + count
  state.phantomMs = nowMs
}

export const addOutcome = (state: TargetState, failed: boolean): void => {
  state.outcomes[state.outcomePosition] = failed ? 1 : 0
  state.outcomePosition = (state.outcomePosition + 1) % OUTCOME_WINDOW
  state.failuresInRow = failed ? state.failuresInRow + 1 : 0
  state.answersInRow = failed ? 0 : state.answersInRow + 1
}

export const clearOutcomes = (state: TargetState): void => {
  state.outcomes = []
  state.outcomePosition = 0
  state.failuresInRow = 0
  state.answersInRow = 0
}

/** Why the outcomes call for an ejection; undefined when they do not. */
export const ejectionReason = (state: TargetState): string | undefined => {
  if (state.failuresInRow >= EJECT_FAILURES_IN_ROW) return `${state.failuresInRow} failures in a row`
  if (state.outcomes.length < OUTCOME_WINDOW) return undefined
  const failures = state.outcomes.reduce((sum, outcome) => sum + outcome, 0)
  return failures >= EJECT_FAILURE_SHARE * OUTCOME_WINDOW ? `${failures} of the last ${OUTCOME_WINDOW} requests failed` : undefined
}

/** Share of its normal requests that a target gets, below 1 while it is cold. */
export const warmth = (state: TargetState, nowMs: number): number =>
  state.health === 'cold'
    ? Math.min(1, Math.max(SLOW_START_SHARE_MIN, (nowMs - state.coldSinceMs) / SLOW_START_MS))
    : 1
