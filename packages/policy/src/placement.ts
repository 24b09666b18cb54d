/**
 * Selects a target for one request by probing targets right before use. This is
 * for servers whose speed and load change many times a second: a load report that
 * arrived with a response 100 ms ago is a poor estimate of the next 100 ms.
 * Targets are probed one or a few at a time, until one is found that has a free
 * slot and runs at its usual speed (synchronous probing in Prequal; Wydrowski et
 * al., NSDI 2024).
 *
 * When no target meets these conditions, a request that can still be answered
 * within its objective waits briefly and probes again. Noisy neighbours often
 * become quiet within about 100 ms, and waiting for a free slot takes less time
 * than running on a target that is several times slower. This handles load with
 * bursts near the capacity and noisy neighbours on a quarter to a third of the
 * VMs.
 */
import type { Random } from '@wisteriavalve/common'
import { effectiveLimit } from './concurrency-limit.js'
import { halfLifeWeight } from './half-life.js'
import { expectedLoad } from './load-estimate.js'
import type { Placement, PlacementRequest } from './types/placement.js'
import { chooseLimited, hasLimit, isPermitPossible } from './request-limit.js'
import { isPaused, pauseRetryAfterMs } from './target-pause.js'
import type { RoutingState, TargetState } from './types.js'
import { chooseColdOverflow, chooseColdShare, chooseColdWait, isCold, isRecentlyChecked, needsWarmupPermit, splitByWarmup, type WarmupOptions } from './warmup.js'
import { isZoneAllowed } from './zone-limits.js'
import { planWithCrossing, type CrossingSteps } from './zone-crossing.js'
import { byteCostMs } from './zone-overflow.js'

/** A report of at most this age is used as the current state of the target. */
const FRESH_REPORT_MS = 20
/** The same while most targets are full: another node takes a free slot soon. Of 627 last slots reported 6 to 20 ms before, 236 were taken when the request arrived; of 1,224 reported within 5 ms, 130. */
const PRESSED_REPORT_MS = 5
/** Half-life of the weight of older reports in the estimate of which target to probe first. */
const SLOWDOWN_HALF_LIFE_MS = 100
/** Mean slowdown, assumed for a target without a report. */
const UNKNOWN_SLOWDOWN = 1.8
/** A target with a slowdown up to this counts as running at its usual speed. */
const FAST_SLOWDOWN_MAX = 1.6
/** Minimum slowdown assumed for a target that just started. */
const COLD_SLOWDOWN = 2
/** Targets probed at a time. One suitable target is enough, so parallel probes would more often be wasted. */
const PARALLEL_PROBES_MAX = 1
/** Wait before unsuitable targets are probed again, as a share of the usual service time, within the bounds below. */
const WAIT_SHARE = 0.35
const WAIT_MIN_MS = 15
const WAIT_MAX_MS = 40
/** Time that must be left for the request after a wait, in units of the usual service time. */
const SERVICE_TIME_RESERVE = 1.15
/** A target whose last request failed within this time is not a first choice. */
const RECENT_FAILURE_MS = 2_000
/** Cost of a recent failure when the target is compared with other second choices, in units of the usual service time. */
const FAILURE_COST = 1
/** Larger bodies are sent to another availability zone only when the zone of this node has no target or no wait is possible. */
const CROSS_ZONE_BODY_BYTES_MAX = 8_192
/** Cost of a target in another zone, in units of the usual service time. */
const OTHER_ZONE_COST = 0.15
/** Share of the expected time that must be left before the deadline. Less than 1, since neighbours often become quiet meanwhile. */
const EXPECTED_TIME_SHARE = 0.8
/** A caller that retries sooner would find the same queue. */
const RETRY_AFTER_MIN_MS = 100

/** A report of at most this age is recent enough to wait for the target or to refuse a request because of it. */
const RECENT_REPORT_MS = 250

const hasRecentReport = (state: TargetState, nowMs: number): boolean => nowMs - state.lastReportMs <= RECENT_REPORT_MS

const hasFreshReport = (state: TargetState, nowMs: number): boolean => nowMs - state.lastReportMs <= FRESH_REPORT_MS

const loadOf = (state: TargetState): number => state.inFlight + state.othersInFlight

/** Estimated slowdown from the last report and its age. */
const slowdownOf = (state: TargetState, nowMs: number): number => {
  const weight = state.lastReportMs === -Infinity ? 0 : halfLifeWeight(nowMs - state.lastReportMs - FRESH_REPORT_MS, SLOWDOWN_HALF_LIFE_MS)
  const reported = weight * state.slowdown + (1 - weight) * UNKNOWN_SLOWDOWN
  return state.health === 'cold' || isCold(state, nowMs) ? Math.max(COLD_SLOWDOWN, reported) : reported
}

/** Whether the target has a free slot, besides those that are left to more urgent requests. */
const isFree = (state: TargetState, reservedShare = 0): boolean =>
  loadOf(state) < state.slots - Math.min(state.slots - 1, Math.round(reservedShare * state.slots))

/** Whether the target has a free slot and runs at about its usual speed. */
const isFreeAndFast = (state: TargetState, reservedShare = 0): boolean => isFree(state, reservedShare) && state.slowdown <= FAST_SLOWDOWN_MAX

/**
 * Some targets fail a part of their requests while their reports look healthy. A
 * node sends too few requests to one target to eject it soon, and a non-idempotent
 * request that fails is lost.
 */
const hasRecentFailure = (state: TargetState, nowMs: number): boolean =>
  state.consecutiveFailures > 0 && nowMs - state.lastFailureMs < RECENT_FAILURE_MS

/** Servers slow down when their last slot is taken, so such a target is a second choice, as is a cold target. */
const isFirstChoice = (state: TargetState, isPressed: boolean, nowMs: number): boolean =>
  state.health !== 'cold' && !isCold(state, nowMs) && (isPressed || loadOf(state) + 1 < state.slots) && !hasRecentFailure(state, nowMs)

/** Cost of a target because of its zone, in units of the usual service time. */
const zoneCost = ({ target }: TargetState, { zone, crossing, serviceTimeMs }: PlacementRequest): number => {
  if (target.zone === zone) return 0
  return crossing ? (crossing.roundTripMs(target.zone) + byteCostMs(crossing)) / serviceTimeMs : OTHER_ZONE_COST
}

/** Expected time until the response for a given load, plus preferences, in units of the usual service time. */
const expectedCost = (state: TargetState, load: number, request: PlacementRequest, nowMs: number): number => {
  const slowdown = slowdownOf(state, nowMs)
  const wait = Math.max(0, load + 1 - state.slots) / state.slots
  // A target with more free slots is less likely to be full when the request arrives.
  const occupancyCost = Math.min(1, load / state.slots) * 0.2
  const failureCost = hasRecentFailure(state, nowMs) ? FAILURE_COST : 0
  return slowdown * (1 + wait) + occupancyCost + failureCost + zoneCost(state, request)
}

/** Expected cost of a target without a fresh report. */
const estimatedCost = (state: TargetState, routing: RoutingState, request: PlacementRequest, nowMs: number): number =>
  expectedCost(state, expectedLoad(state, routing, request.serviceTimeMs, nowMs), request, nowMs)

const withLowestCost = (states: readonly TargetState[], costOf: (state: TargetState) => number, random: Random): TargetState | undefined => {
  let best: TargetState | undefined
  let bestCost = Infinity
  const start = states.length === 0 ? 0 : random.int(states.length)
  for (let step = 0; step < states.length; step++) {
    const state = states[(start + step) % states.length] as TargetState
    const cost = costOf(state)
    if (cost < bestCost) {
      best = state
      bestCost = cost
    }
  }
  return best
}

const isEligible = (state: TargetState, request: PlacementRequest, isFailOpen: boolean): boolean =>
  !request.exclude.has(state.target.id) && isZoneAllowed(state, request) && (state.health !== 'probation' || request.idempotent !== false || isFailOpen)

const isAcceptingRequests = (state: TargetState, nowMs: number): boolean =>
  state.inFlight < Math.max(effectiveLimit(state), state.slots) && nowMs >= state.avoidUntilMs

const describe = (state: TargetState, nowMs: number): string =>
  `load ${loadOf(state)} of ${state.slots} slots, work takes ${state.slowdown.toFixed(2)} times the usual, report ${Math.round(nowMs - state.lastReportMs)} ms old`

const send = (state: TargetState, reason: string, permitWaitMaxMs = 0): Placement & { step: 'send' } =>
  ({ step: 'send', targetId: state.target.id, reason, permitWaitMaxMs })

/**
 * Sends to a first choice among the free and fast targets of a group, else probes
 * the next target of the group, else sends to a second choice.
 */
const chooseInGroup = (
  group: readonly TargetState[], routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random
): Placement | undefined => {
  const isPressed = request.needsReport === true
  const freshMs = isPressed ? PRESSED_REPORT_MS : FRESH_REPORT_MS
  // A load report of a response to a request does not show whether the target is cold.
  const isWarmthKnown = (state: TargetState): boolean =>
    isRecentlyChecked(state, routing.warmup, nowMs) && !needsWarmupPermit(state, routing.warmup, nowMs)
  const fresh = group.filter(state => nowMs - state.lastReportMs <= freshMs && isWarmthKnown(state) && isFreeAndFast(state, request.reservedShare))
  const firstChoice = withLowestCost(fresh.filter(state => isFirstChoice(state, isPressed, nowMs)), state => expectedCost(state, loadOf(state), request, nowMs), random)
  if (firstChoice) return send(firstChoice, describe(firstChoice, nowMs))
  const needsProbe = (state: TargetState): boolean =>
    !request.probed.has(state.target.id) && !(hasFreshReport(state, nowMs) && isWarmthKnown(state)) && request.canProbe(state.target.id)
  const unprobed = request.probed.size >= (request.probesMax ?? Infinity) ? [] : group.filter(needsProbe)
  const targetIds: string[] = []
  for (let count = 0; count < PARALLEL_PROBES_MAX; count++) {
    const next = withLowestCost(unprobed.filter(({ target }) => !targetIds.includes(target.id)), state => estimatedCost(state, routing, request, nowMs), random)
    if (next) targetIds.push(next.target.id)
  }
  if (targetIds.length > 0) return { step: 'probe', targetIds }
  const secondChoice = withLowestCost(fresh, state => expectedCost(state, loadOf(state), request, nowMs), random)
  return secondChoice && send(secondChoice, `second choice: ${describe(secondChoice, nowMs)}`)
}

const waitMs = (serviceTimeMs: number): number => Math.min(WAIT_MAX_MS, Math.max(WAIT_MIN_MS, WAIT_SHARE * serviceTimeMs))

/** Time until a slot of the target is free; 0 for a target that is only slow, since its slowness may end at any time. */
const queueWaitMs = (state: TargetState, serviceTimeMs: number): number =>
  Math.max(0, loadOf(state) + 1 - state.slots) / state.slots * serviceTimeMs

/** Whether a target may become free early enough for the objective and the deadline. */
const isWorthWaiting = (usable: readonly TargetState[], { objectiveEndMs, deadlineMs, serviceTimeMs, needsReport }: PlacementRequest, nowMs: number): boolean => {
  const spareMs = Math.min(objectiveEndMs, deadlineMs) - nowMs - SERVICE_TIME_RESERVE * serviceTimeMs
  const isDueInTime = (state: TargetState): boolean => hasRecentReport(state, nowMs) ? queueWaitMs(state, serviceTimeMs) <= spareMs : needsReport === true
  return spareMs >= waitMs(serviceTimeMs) && usable.some(isDueInTime)
}

/**
 * Chooses when no target is free and fast, and waiting is not possible. A free
 * slot on a slow target is preferred to a queue. When every slot is taken, the
 * request is refused: it would wait in a target's queue, be late, and delay the
 * requests behind it. A target without a recent report, because a probe failed or
 * this node is overloaded, is not a reason to refuse. With avoidsReportedFull, a
 * request that cannot be refused any more is sent to a target whose fresh report
 * shows that its slots are taken only if all targets have such reports.
 */
const chooseFallback = (group: readonly TargetState[], request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const costOf = (state: TargetState): number => expectedCost(state, loadOf(state), request, nowMs)
  const needsReport = request.needsReport && request.canRefuse
  const free = withLowestCost(group.filter(state => nowMs - state.lastReportMs <= (needsReport ? PRESSED_REPORT_MS : RECENT_REPORT_MS) ? isFree(state, request.reservedShare) : !needsReport), costOf, random)
  const unreported = request.avoidsReportedFull ? group.filter(state => !hasFreshReport(state, nowMs)) : []
  const best = free ?? withLowestCost(unreported, costOf, random) ?? withLowestCost(group, costOf, random)
  if (!best) return { step: 'none' }
  const expectedMs = costOf(best) * request.serviceTimeMs
  const isTooLate = hasRecentReport(best, nowMs) && nowMs + EXPECTED_TIME_SHARE * expectedMs > (request.isThrottled ? request.objectiveEndMs : request.deadlineMs)
  if (request.canRefuse && (!free || isTooLate)) {
    const backlogMs = Math.min(...group.map(state => queueWaitMs(state, request.serviceTimeMs)))
    return { step: 'refuse', cause: 'late', retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, backlogMs) }
  }
  return { ...send(best, `none is better: ${describe(best, nowMs)}`), isFallback: true }
}

/** Expected time until the response of a target that is not free and fast, with the wait for a slot or for the end of its slowness. */
const expectedHomeMs = (state: TargetState, routing: RoutingState, { serviceTimeMs }: PlacementRequest, nowMs: number): number => {
  const load = hasRecentReport(state, nowMs) ? loadOf(state) : expectedLoad(state, routing, serviceTimeMs, nowMs)
  const slowMs = (slowdownOf(state, nowMs) - 1) * serviceTimeMs
  return serviceTimeMs * (1 + Math.max(0, load + 1 - state.slots) / state.slots) + Math.min(slowMs, SLOWDOWN_HALF_LIFE_MS)
}

/** The steps of this module for one request, for the plan that limits requests between zones. */
const stepsFor = (routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random): CrossingSteps => ({
  choose: group => chooseInGroup(group, routing, request, nowMs, random),
  fallBack: group => chooseFallback(group, request, nowMs, random),
  expectedHomeMs: state => expectedHomeMs(state, routing, request, nowMs),
  hasRecentlyFree: state => hasRecentReport(state, nowMs) && isFree(state, request.reservedShare),
  waitUntilMs: group => request.canWait && isWorthWaiting(group, request, nowMs) ? nowMs + waitMs(request.serviceTimeMs) : undefined
})

/** Next step among targets without a request limit. */
const planUnlimited = (eligible: readonly TargetState[], routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const acceptingTargets = eligible.filter(state => isAcceptingRequests(state, nowMs))
  const usable = acceptingTargets.length > 0 ? acceptingTargets : eligible
  if (request.crossing) return planWithCrossing(usable, request.crossing, request, nowMs, stepsFor(routing, request, nowMs, random))
  const zoneTargets = usable.filter(({ target }) => target.zone === request.zone)
  const otherZoneTargets = usable.filter(({ target }) => target.zone !== request.zone)
  const shouldStayInZone = zoneTargets.length > 0 && request.bodyBytes > CROSS_ZONE_BODY_BYTES_MAX
  const canWait = request.canWait && isWorthWaiting(shouldStayInZone ? zoneTargets : usable, request, nowMs)
  const step = chooseInGroup(zoneTargets, routing, request, nowMs, random) ??
    (shouldStayInZone && canWait ? undefined : chooseInGroup(otherZoneTargets, routing, request, nowMs, random))
  if (step) return step
  if (request.requiresFreeAndFast) return { step: 'none' }
  if (canWait) return { step: 'wait', untilMs: nowMs + waitMs(request.serviceTimeMs) }
  return chooseFallback(usable, request, nowMs, random)
}

/**
 * Whether a target with a request limit may be used although others are free: a
 * permit is due, and nothing recent speaks against the target.
 */
const isPermittedFirst = (state: TargetState, { zone, bodyBytes }: PlacementRequest, nowMs: number): boolean =>
  isPermitPossible(state, 0, nowMs) && isAcceptingRequests(state, nowMs) && !hasRecentFailure(state, nowMs) &&
  (state.target.zone === zone || bodyBytes <= CROSS_ZONE_BODY_BYTES_MAX) &&
  (!hasRecentReport(state, nowMs) || isFreeAndFast(state))

/**
 * Uses a target with a request limit while a permit is due. The limit says how
 * much the target can take, so it is asked for no load report, and what the limit
 * leaves goes to other targets. Hedges leave the permits to requests.
 */
const choosePermitted = (limited: readonly TargetState[], { warmup }: RoutingState, request: PlacementRequest, nowMs: number, random: Random): Placement | undefined => {
  if (request.requiresFreeAndFast) return undefined
  const permitted = limited.filter(state => isPermittedFirst(state, request, nowMs))
  const best = withLowestCost(permitted, state => expectedCost(state, loadOf(state), request, nowMs), random)
  if (best && needsWarmupPermit(best, warmup, nowMs)) return { step: 'probe', targetIds: [best.target.id] }
  return best && send(best, `within its request limit: ${describe(best, nowMs)}`)
}

/** Chooses when each usable target has a request limit. */
const chooseAmongLimited = (limited: readonly TargetState[], request: PlacementRequest, nowMs: number, random: Random): Placement => {
  if (request.requiresFreeAndFast) return { step: 'none' }
  const choice = chooseLimited(limited, request, nowMs, random.next())
  if ('state' in choice) return send(choice.state, `its permit is due first: ${describe(choice.state, nowMs)}`, choice.permitWaitMaxMs)
  return request.canRefuse ? { step: 'refuse', cause: 'rate-limited', retryAfterMs: choice.retryAfterMs, detail: choice.detail } : { step: 'none' }
}

/** Next step among targets of which at least one may take a request without a warm-up permit, or may show in a probe that it can. */
const planOpen = (usable: readonly TargetState[], routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const limited = usable.filter(hasLimit)
  if (limited.length === 0) return planUnlimited(usable, routing, request, nowMs, random)
  return choosePermitted(limited, routing, request, nowMs, random) ?? (limited.length === usable.length
    ? chooseAmongLimited(limited, request, nowMs, random)
    : planUnlimited(usable.filter(state => !hasLimit(state)), routing, request, nowMs, random))
}

/** Waits for the warm-up permit that is due first, or refuses. Hedges are not sent to cold targets. */
const planAllCold = (cold: readonly TargetState[], request: PlacementRequest, nowMs: number, random: Random): Placement => {
  if (request.requiresFreeAndFast) return { step: 'none' }
  const choice = chooseColdWait(cold, request, nowMs, random.next())
  if ('state' in choice) return send(choice.state, `all targets may be cold, and its permit is due first: ${describe(choice.state, nowMs)}`, choice.permitWaitMaxMs)
  return request.canRefuse ? { step: 'refuse', cause: 'rate-limited', retryAfterMs: choice.retryAfterMs, detail: choice.detail } : { step: 'none' }
}

/** Next step in a service with a warm-up; see warmup.ts. */
const planWithWarmup = (usable: readonly TargetState[], options: WarmupOptions, routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const shared = chooseColdShare(usable, options, request, nowMs)
  if (shared?.step === 'probe') return { step: 'probe', targetIds: [shared.state.target.id] }
  if (shared) return send(shared.state, `its share while it is cold: ${describe(shared.state, nowMs)}`)
  const { cold, open } = splitByWarmup(usable, options, request, nowMs)
  if (open.length === 0) return planAllCold(cold, request, nowMs, random)
  const step = planOpen(open, routing, request, nowMs, random)
  if (step.step === 'probe' || (step.step === 'send' && step.isFallback !== true)) return step
  const overflow = chooseColdOverflow(cold, request, step.step === 'wait', nowMs)
  return overflow ? send(overflow, `warm targets are busy, and it is cold: ${describe(overflow, nowMs)}`) : step
}

/**
 * Next step for a request that has no target yet. Call again after each probe
 * result and after each wait.
 */
export const planPlacement = (routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const eligible = routing.candidates.filter(state => isEligible(state, request, routing.isFailOpen))
  if (eligible.length === 0) return { step: 'none' }
  const usable = eligible.filter(state => !isPaused(state, nowMs))
  if (usable.length === 0) return request.canRefuse ? { step: 'refuse', cause: 'paused', retryAfterMs: pauseRetryAfterMs(eligible, nowMs, random.next()) } : { step: 'none' }
  return routing.warmup
    ? planWithWarmup(usable, routing.warmup, routing, request, nowMs, random)
    : planOpen(usable, routing, request, nowMs, random)
}
