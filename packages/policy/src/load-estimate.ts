/**
 * What a node knows of a target's load: its own requests exactly, those of the
 * other nodes from the last report, which loses weight with age in favour of
 * the mean over the service.
 */
import { REPORT_HALF_LIFE_MAX_MS, REPORT_HALF_LIFE_SHARE, UNKNOWN_LOAD_FACTOR } from './constants.js'
import { halfLifeWeight } from './half-life.js'
import { penaltyAt } from './target-state.js'
import type { LoadReport, RoutingState, TargetState } from './types.js'

/** A target cannot claim more than this many times its configured slots. */
const SLOTS_CLAIM_FACTOR = 4
/** Nor more requests than this many for each slot, so that a wrong report cannot spoil the mean. */
const IN_FLIGHT_CLAIM_FACTOR = 16
/** Weight of a new report in the mean over the service. */
const MEAN_WEIGHT = 0.02

/** @param observedMs when the target made the report */
export const takeReport = (
  state: TargetState, report: LoadReport, routing: RoutingState, slotsPerTarget: number, observedMs: number
): void => {
  if (report.slots !== undefined) state.slots = Math.min(report.slots, slotsPerTarget * SLOTS_CLAIM_FACTOR)
  if (report.slowdown !== undefined && observedMs >= state.reportMs) state.slowdown = report.slowdown
  const reported = report.inFlight ?? (report.utilization === undefined ? undefined : report.utilization * state.slots)
  if (reported === undefined || observedMs < state.reportMs) return
  state.reportedInFlight = Math.min(reported, IN_FLIGHT_CLAIM_FACTOR * state.slots)
  state.othersInFlight = Math.max(0, state.reportedInFlight - state.inFlight)
  state.reportMs = observedMs
  routing.meanOthersInFlight += MEAN_WEIGHT * (state.othersInFlight - routing.meanOthersInFlight)
}

/** Own requests that run longer than usual, in units of the usual time. */
const overdueLoad = (state: TargetState, usualMs: number, nowMs: number): number => {
  if (state.inFlight === 0) return 0
  const ageSumMs = state.inFlight * nowMs - state.startsMsSum
  return Math.max(0, ageSumMs / usualMs - state.inFlight)
}

/** Load that other nodes put on the target now; with no recent report a guess above the mean. */
const othersLoad = (state: TargetState, routing: RoutingState, usualMs: number, nowMs: number): number => {
  const halfLifeMs = Math.min(REPORT_HALF_LIFE_MAX_MS, REPORT_HALF_LIFE_SHARE * usualMs)
  const weight = halfLifeWeight(nowMs - state.reportMs, halfLifeMs)
  return weight * state.othersInFlight + (1 - weight) * UNKNOWN_LOAD_FACTOR * routing.meanOthersInFlight
}

/** Requests that a further one would meet at the target, as far as this node can tell. */
export const expectedLoad = (state: TargetState, routing: RoutingState, usualMs: number, nowMs: number): number =>
  state.inFlight + othersLoad(state, routing, usualMs, nowMs) + overdueLoad(state, usualMs, nowMs) +
  penaltyAt(state, routing.slowLatencyMs, nowMs)
