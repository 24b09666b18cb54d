/**
 * Record of one target: requests in flight, latency, outcomes.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import { EJECT_FAILURES_IN_ROW, EJECT_FAILURE_SHARE, OUTCOME_WINDOW, SLOW_START_MS, SLOW_START_SHARE_MIN } from './constants.js'
import { createLatencyWindow } from './latency-window.js'
import { halfLifeWeight } from './half-life.js'
import { healthOf, startHealth, type HealthInput } from './target-health.js'
import type { TargetState } from './types.js'

const LATENCY_WINDOW_SIZE = 256
const LATENCY_COUNT_MIN = 20
/** Weight of a new latency; about the last ten answers count. */
const LATENCY_WEIGHT = 0.15

export const createTargetState = (target: ListedTarget, slots: number, limit: number, health: HealthInput): TargetState => {
  const lifecycle = startHealth(health)
  return {
    target,
    health: healthOf(lifecycle),
    coldSinceMs: health.nowMs,
    inFlight: 0,
    startsMs: [],
    startsMsSum: 0,
    limit,
    slots,
    othersInFlight: 0,
    reportMs: -Infinity,
    slowdown: 1,
    latencyMs: 0,
    latencyUpdatedMs: -Infinity,
    penaltyInFlight: 0,
    penaltyMs: health.nowMs,
    lifecycle,
    dropped: false,
    reportsLoad: false,
    failuresInRow: 0,
    lastFailureMs: -Infinity,
    answersInRow: 0,
    outcomes: [],
    outcomePosition: 0,
    limitLoweredMs: -Infinity,
    refusalsInRow: 0,
    avoidUntilMs: -Infinity,
    lastDrainSignMs: -Infinity,
    firstBytes: createLatencyWindow(LATENCY_WINDOW_SIZE, LATENCY_COUNT_MIN),
    notedMs: -Infinity
  }
}

export const addStart = (state: TargetState, nowMs: number): void => {
  state.inFlight++
  state.startsMs.push(nowMs)
  state.startsMsSum += nowMs
}

/**
 * Takes out the request whose start is nearest to the given time. The duration
 * of an attempt may leave out the time until a connection was open, so the
 * times need not be equal.
 */
export const removeStart = (state: TargetState, startedMs: number): void => {
  const { startsMs } = state
  if (startsMs.length === 0) return
  let nearest = 0
  for (let index = 1; index < startsMs.length; index++) {
    if (Math.abs((startsMs[index] as number) - startedMs) < Math.abs((startsMs[nearest] as number) - startedMs)) nearest = index
  }
  state.startsMsSum -= startsMs[nearest] as number
  startsMs[nearest] = startsMs[startsMs.length - 1] as number
  startsMs.pop()
  state.inFlight = startsMs.length
  if (state.inFlight === 0) state.startsMsSum = 0
}

export const addLatency = (state: TargetState, latencyMs: number, nowMs: number): void => {
  state.latencyMs += (state.latencyUpdatedMs === -Infinity ? 1 : LATENCY_WEIGHT) * (latencyMs - state.latencyMs)
  state.latencyUpdatedMs = nowMs
}

/** @param slowMs time that a failed request counts as still running */
export const penaltyAt = (state: TargetState, slowMs: number, nowMs: number): number =>
  state.penaltyInFlight === 0 ? 0 : state.penaltyInFlight * halfLifeWeight(nowMs - state.penaltyMs, slowMs)

export const addPenalty = (state: TargetState, count: number, slowMs: number, nowMs: number): void => {
  state.penaltyInFlight = penaltyAt(state, slowMs, nowMs) + count
  state.penaltyMs = nowMs
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
export const slowStartShare = (state: TargetState, nowMs: number): number =>
  state.health === 'cold'
    ? Math.min(1, Math.max(SLOW_START_SHARE_MIN, (nowMs - state.coldSinceMs) / SLOW_START_MS))
    : 1
