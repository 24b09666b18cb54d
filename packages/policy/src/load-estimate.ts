/**
 * Estimate of a target's load. The requests of this node are known exactly. Those
 * of other nodes come from the last report, which decays with age towards a value
 * based on the mean over the service.
 */
import { REPORT_HALF_LIFE_MAX_MS, REPORT_HALF_LIFE_SHARE, UNKNOWN_LOAD_FACTOR } from './constants.js'
import { halfLifeWeight } from './half-life.js'
import { penaltyAt } from './target-state.js'
import type { LoadReport, RoutingState, TargetState } from './types.js'

/** Reported slots are capped at this many times the configured slots. */
const REPORTED_SLOTS_FACTOR_MAX = 4
/** Reported requests are capped at this many per slot, since a wrong report would distort the mean. */
const REPORTED_IN_FLIGHT_PER_SLOT_MAX = 16
/** Weight of a new report in the moving average over the service. */
const MEAN_WEIGHT = 0.02

/** @param observedMs time at which the target made the report */
export const applyReport = (
  state: TargetState, report: LoadReport, routing: RoutingState, slotsPerTarget: number, observedMs: number
): void => {
  if (report.slots !== undefined) state.slots = Math.min(report.slots, slotsPerTarget * REPORTED_SLOTS_FACTOR_MAX)
  if (report.slowdown !== undefined && observedMs >= state.lastReportMs) state.slowdown = report.slowdown
  const reported = report.inFlight ?? (report.utilization === undefined ? undefined : report.utilization * state.slots)
  if (reported === undefined || observedMs < state.lastReportMs) return
  state.reportedInFlight = Math.min(reported, REPORTED_IN_FLIGHT_PER_SLOT_MAX * state.slots)
  state.othersInFlight = Math.max(0, state.reportedInFlight - state.inFlight)
  state.lastReportMs = observedMs
  routing.meanOthersInFlight += MEAN_WEIGHT * (state.othersInFlight - routing.meanOthersInFlight)
}

/** Time by which requests of this node exceed the usual time, in units of the usual time. */
const overdueLoad = (state: TargetState, usualMs: number, nowMs: number): number => {
  if (state.inFlight === 0) return 0
  const ageSumMs = state.inFlight * nowMs - state.startTimesSumMs
  return Math.max(0, ageSumMs / usualMs - state.inFlight)
}

/** Estimated load from other nodes; without a recent report, an estimate above the mean. */
const othersLoad = (state: TargetState, routing: RoutingState, usualMs: number, nowMs: number): number => {
  const halfLifeMs = Math.min(REPORT_HALF_LIFE_MAX_MS, REPORT_HALF_LIFE_SHARE * usualMs)
  const weight = halfLifeWeight(nowMs - state.lastReportMs, halfLifeMs)
  return weight * state.othersInFlight + (1 - weight) * UNKNOWN_LOAD_FACTOR * routing.meanOthersInFlight
}

/** Estimated number of requests at the target, including penalties for failed and overdue requests. */
export const expectedLoad = (state: TargetState, routing: RoutingState, usualMs: number, nowMs: number): number =>
  state.inFlight + othersLoad(state, routing, usualMs, nowMs) + overdueLoad(state, usualMs, nowMs) +
  penaltyAt(state, routing.slowLatencyMs, nowMs)
