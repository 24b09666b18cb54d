/**
 * What a node knows of a target's load: its own requests exactly, those of the
 * other nodes from the last report, which loses weight with age in favour of
 * the mean over the service.
 */
import { REPORT_HALF_LIFE_MS } from './constants.js'
import type { LoadReport, RoutingState, TargetState } from './types.js'

/** A target cannot claim more than this many times its configured slots. */
const SLOTS_CLAIM_FACTOR = 4
/** Weight of a new report in the mean over the service. */
const MEAN_WEIGHT = 0.02

export const halfLifeWeight = (ageMs: number, halfLifeMs: number): number =>
  ageMs <= 0 ? 1 : 2 ** (-ageMs / halfLifeMs)

/** @param observedMs when the target made the report */
export const takeReport = (
  state: TargetState, report: LoadReport, routing: RoutingState, slotsPerTarget: number, observedMs: number
): void => {
  if (report.slots !== undefined) state.slots = Math.min(report.slots, slotsPerTarget * SLOTS_CLAIM_FACTOR)
  const reported = report.inFlight ?? (report.utilization === undefined ? undefined : report.utilization * state.slots)
  if (reported === undefined || observedMs < state.reportMs) return
  state.reportedInFlight = reported
  state.othersInFlight = Math.max(0, reported - state.inFlight)
  state.reportMs = observedMs
  routing.meanOthersInFlight += MEAN_WEIGHT * (state.othersInFlight - routing.meanOthersInFlight)
}

/** Requests of other nodes that the target runs now, as far as this node can tell. */
export const estimateOthers = (state: TargetState, routing: RoutingState, nowMs: number): number => {
  const weight = halfLifeWeight(nowMs - state.reportMs, REPORT_HALF_LIFE_MS)
  return weight * state.othersInFlight + (1 - weight) * routing.meanOthersInFlight
}
