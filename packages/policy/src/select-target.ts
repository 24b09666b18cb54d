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
import { chooseColdWait, isCold, isWarmupPermitPossible, needsWarmupPermit } from './warmup.js'
import type { PolicyName, RoutingState, Selection, SelectionRequest, TargetState, TargetTable } from './types.js'
import { isZoneAllowed } from './zone-limits.js'

/** Whether the request may use the target at all. */
const isEligible = (state: TargetState, request: SelectionRequest): boolean => !request.exclude.has(state.target.id) && isZoneAllowed(state, request)

/** Whether the warm-up of the target leaves room for the request. */
const isWarmEnough = (state: TargetState, { warmup }: RoutingState, { excludesCold }: SelectionRequest, nowMs: number): boolean =>
  !(excludesCold === true && isCold(state, nowMs)) && (!needsWarmupPermit(state, warmup, nowMs) || (excludesCold !== true && isWarmupPermitPossible(state, 0, nowMs)))

/** Fills routing.scratch with the eligible targets below their limit; returns the number of targets that were not excluded. */
const filterCandidates = (routing: RoutingState, request: SelectionRequest, nowMs: number, random: Random): number => {
  const { candidates, scratch } = routing
  let usableCount = 0
  scratch.length = 0
  for (let index = 0; index < candidates.length; index++) {
    const state = candidates[index] as TargetState
    if (!isEligible(state, request)) continue
    usableCount++
    if (isPaused(state, nowMs) || !isPermitPossible(state, 0, nowMs) || !isWarmEnough(state, routing, request, nowMs)) continue
    if (state.inFlight >= effectiveLimit(state) || nowMs < state.avoidUntilMs) continue
    if (state.health === 'probation' && request.idempotent === false && !routing.isFailOpen) continue
    if (routing.hasCold && state.health === 'cold' && random.next() >= slowStartShare(state, nowMs)) continue
    scratch.push(state)
  }
  return usableCount
}

/** Adds the targets that are cold, on probation or avoided after a refusal, as a last resort. */
const relaxFilter = (routing: RoutingState, request: SelectionRequest, nowMs: number): void => {
  const { candidates, scratch } = routing
  for (const state of candidates) {
    if (isEligible(state, request) && state.inFlight < effectiveLimit(state) && !isPaused(state, nowMs) && isPermitPossible(state, 0, nowMs) && isWarmEnough(state, routing, request, nowMs)) scratch.push(state)
  }
}

/** Waits for a free target if one has no request limit, and otherwise for the permit that is due first. */
const selectWithoutFreeTarget = ({ candidates, warmup }: RoutingState, request: SelectionRequest, nowMs: number, random: Random): Selection => {
  const remaining = candidates.filter(state => isEligible(state, request))
  const usable = remaining.filter(state => !isPaused(state, nowMs))
  if (usable.length === 0) return { ok: false, error: 'paused', retryAfterMs: pauseRetryAfterMs(remaining, nowMs, random.next()) }
  const areAllCold = usable.every(state => needsWarmupPermit(state, warmup, nowMs))
  if (!areAllCold && !usable.every(hasLimit)) return { ok: false, error: 'all-busy' }
  const choice = areAllCold ? chooseColdWait(usable, { ...request, serviceTimeMs: 0 }, nowMs, random.next()) : chooseLimited(usable, request, nowMs, random.next())
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
