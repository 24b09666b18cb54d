/**
 * State of one target: requests in flight, latency, outcomes.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import { EJECT_CONSECUTIVE_FAILURES, EJECT_FAILURE_SHARE, OUTCOME_WINDOW_SIZE, SLOW_START_MS, SLOW_START_SHARE_MIN } from './constants.js'
import { createLatencyWindow } from './latency-window.js'
import { halfLifeWeight } from './half-life.js'
import { healthOf, startHealth, type HealthInput } from './target-health.js'
import { createWarmupState } from './warmup.js'
import type { TargetState } from './types.js'

const LATENCY_WINDOW_SIZE = 256
const LATENCY_COUNT_MIN = 20
/** Weight of a new latency; the average covers about the last ten responses. */
const LATENCY_WEIGHT = 0.15

export const createTargetState = (target: ListedTarget, slots: number, limit: number, health: HealthInput): TargetState => {
  const lifecycle = startHealth(health)
  return {
    target,
    health: healthOf(lifecycle),
    coldSinceMs: health.nowMs,
    inFlight: 0,
    startTimesMs: [],
    startTimesSumMs: 0,
    limit,
    slots,
    othersInFlight: 0,
    lastReportMs: -Infinity,
    slowdown: 1,
    latencyMs: 0,
    latencyUpdatedMs: -Infinity,
    penaltyInFlight: 0,
    penaltyUpdatedMs: health.nowMs,
    lifecycle,
    isUnlisted: false,
    reportsLoad: false,
    consecutiveFailures: 0,
    lastFailureMs: -Infinity,
    consecutiveResponses: 0,
    outcomes: [],
    outcomePosition: 0,
    limitLoweredMs: -Infinity,
    consecutiveRefusals: 0,
    avoidUntilMs: -Infinity,
    limitObservedMs: -Infinity,
    pausedUntilMs: -Infinity,
    isPauseUnshared: false,
    nextPermitMs: -Infinity,
    askAgainMs: -Infinity,
    isLimitUnshared: false,
    warmup: createWarmupState(),
    lastDrainObservedMs: -Infinity,
    hasStatedDraining: false,
    firstBytes: createLatencyWindow(LATENCY_WINDOW_SIZE, LATENCY_COUNT_MIN),
    lastNoteMs: -Infinity
  }
}

export const addStartTime = (state: TargetState, nowMs: number): void => {
  state.inFlight++
  state.startTimesMs.push(nowMs)
  state.startTimesSumMs += nowMs
}

/**
 * Removes the start time nearest to the given time. The times may differ, since
 * the duration of an attempt may exclude the time to open a connection.
 */
export const removeStartTime = (state: TargetState, startedMs: number): void => {
  const { startTimesMs } = state
  if (startTimesMs.length === 0) return
  let nearest = 0
  for (let index = 1; index < startTimesMs.length; index++) {
    if (Math.abs((startTimesMs[index] as number) - startedMs) < Math.abs((startTimesMs[nearest] as number) - startedMs)) nearest = index
  }
  state.startTimesSumMs -= startTimesMs[nearest] as number
  startTimesMs[nearest] = startTimesMs[startTimesMs.length - 1] as number
  startTimesMs.pop()
  state.inFlight = startTimesMs.length
  if (state.inFlight === 0) state.startTimesSumMs = 0
}

export const addLatency = (state: TargetState, latencyMs: number, nowMs: number): void => {
  state.latencyMs += (state.latencyUpdatedMs === -Infinity ? 1 : LATENCY_WEIGHT) * (latencyMs - state.latencyMs)
  state.latencyUpdatedMs = nowMs
}

/** @param slowMs half-life with which a failed request stops counting as running */
export const penaltyAt = (state: TargetState, slowMs: number, nowMs: number): number =>
  state.penaltyInFlight === 0 ? 0 : state.penaltyInFlight * halfLifeWeight(nowMs - state.penaltyUpdatedMs, slowMs)

export const addPenalty = (state: TargetState, count: number, slowMs: number, nowMs: number): void => {
  state.penaltyInFlight = penaltyAt(state, slowMs, nowMs) + count
  state.penaltyUpdatedMs = nowMs
}

export const addOutcome = (state: TargetState, hasFailed: boolean): void => {
  state.outcomes[state.outcomePosition] = hasFailed ? 1 : 0
  state.outcomePosition = (state.outcomePosition + 1) % OUTCOME_WINDOW_SIZE
  state.consecutiveFailures = hasFailed ? state.consecutiveFailures + 1 : 0
  state.consecutiveResponses = hasFailed ? 0 : state.consecutiveResponses + 1
}

export const clearOutcomes = (state: TargetState): void => {
  state.outcomes = []
  state.outcomePosition = 0
  state.consecutiveFailures = 0
  state.consecutiveResponses = 0
}

/** Reason for an ejection based on the outcomes; undefined when they do not require one. */
export const ejectionReason = (state: TargetState): string | undefined => {
  if (state.consecutiveFailures >= EJECT_CONSECUTIVE_FAILURES) return `${state.consecutiveFailures} failures in a row`
  if (state.outcomes.length < OUTCOME_WINDOW_SIZE) return undefined
  const failures = state.outcomes.reduce((sum, outcome) => sum + outcome, 0)
  return failures >= EJECT_FAILURE_SHARE * OUTCOME_WINDOW_SIZE ? `${failures} of the last ${OUTCOME_WINDOW_SIZE} requests failed` : undefined
}

/** Share of its normal requests that a target gets, below 1 while it is cold. */
export const slowStartShare = (state: TargetState, nowMs: number): number =>
  state.health === 'cold'
    ? Math.min(1, Math.max(SLOW_START_SHARE_MIN, (nowMs - state.coldSinceMs) / SLOW_START_MS))
    : 1
