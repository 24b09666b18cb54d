/**
 * Selects the target of an attempt: filters out targets that must not or should
 * not be used, then applies the policy. All policies share the same filter and
 * differ only in their choice among the remaining targets.
 */
import type { Random } from '@wisteriavalve/common'
import { effectiveLimit } from './concurrency-limit.js'
import { chooseLimited, hasLimit, isPermitPossible } from './request-limit.js'
import { isPaused, pauseRetryAfterMs } from './target-pause.js'
import { policies } from './policies/index.js'
import { slowStartShare } from './target-state.js'
import type { PolicyName, RoutingState, Selection, SelectionRequest, TargetState, TargetTable } from './types.js'
import { isZoneAllowed } from './zone-limits.js'

/** Whether the request may use the target at all. */
const isEligible = (state: TargetState, request: SelectionRequest): boolean => !request.exclude.has(state.target.id) && isZoneAllowed(state, request)

/** Fills routing.scratch with the eligible targets below their limit; returns the number of targets that were not excluded. */
const filterCandidates = (routing: RoutingState, request: SelectionRequest, nowMs: number, random: Random): number => {
  const { candidates, scratch } = routing
  let usableCount = 0
  scratch.length = 0
  for (let index = 0; index < candidates.length; index++) {
    const state = candidates[index] as TargetState
    if (!isEligible(state, request)) continue
    usableCount++
    if (isPaused(state, nowMs) || !isPermitPossible(state, 0, nowMs)) continue
    if (state.inFlight >= effectiveLimit(state) || nowMs < state.avoidUntilMs) continue
    if (state.health === 'probation' && request.idempotent === false && !routing.isFailOpen) continue
    if (routing.hasCold && state.health === 'cold' && random.next() >= slowStartShare(state, nowMs)) continue
    scratch.push(state)
  }
  return usableCount
}

/** Adds the targets that are cold, on probation or avoided after a refusal, as a last resort. */
const relaxFilter = ({ candidates, scratch }: RoutingState, request: SelectionRequest, nowMs: number): void => {
  for (const state of candidates) {
    if (isEligible(state, request) && state.inFlight < effectiveLimit(state) && !isPaused(state, nowMs) && isPermitPossible(state, 0, nowMs)) scratch.push(state)
  }
}

/** Waits for a free target if one has no request limit, and otherwise for the permit that is due first. */
const selectWithoutFreeTarget = ({ candidates }: RoutingState, request: SelectionRequest, nowMs: number, random: Random): Selection => {
  const remaining = candidates.filter(state => isEligible(state, request))
  const usable = remaining.filter(state => !isPaused(state, nowMs))
  if (usable.length === 0) return { ok: false, error: 'paused', retryAfterMs: pauseRetryAfterMs(remaining, nowMs, random.next()) }
  if (!usable.every(hasLimit)) return { ok: false, error: 'all-busy' }
  const choice = chooseLimited(usable, request, nowMs, random.next())
  return 'state' in choice
    ? { ok: true, targetId: choice.state.target.id, reason: 'its permit is due first', permitWaitMaxMs: choice.permitWaitMaxMs }
    : { ok: false, error: 'rate-limited', retryAfterMs: choice.retryAfterMs, detail: choice.detail }
}

export const selectTarget = (
  policyName: PolicyName, table: TargetTable, request: SelectionRequest, nowMs: number, random: Random
): Selection => {
  const routing = table.routing(nowMs)
  const usableCount = filterCandidates(routing, request, nowMs, random)
  if (usableCount === 0) return { ok: false, error: 'no-target' }
  if (routing.scratch.length === 0) relaxFilter(routing, request, nowMs)
  if (routing.scratch.length === 0) return selectWithoutFreeTarget(routing, request, nowMs, random)
  const { state, reason } = policies[policyName](routing.scratch, { routing, zone: request.zone, nowMs, random })
  return { ok: true, targetId: state.target.id, reason, permitWaitMaxMs: 0 }
}
