/**
 * Places one request with reports that are as fresh as the decision, for
 * servers whose speed and load change many times a second: a report that came
 * with an answer some 100 ms ago says little about the next 100 ms. A target
 * is asked right before it is used, one or a few at a time, until one is found
 * that has a free slot and works at its usual speed (synchronous probing in
 * Prequal; Wydrowski et al., NSDI 2024).
 *
 * When no target is good at this moment, a request that can still be answered
 * within its objective waits a little and asks again: neighbours that are busy
 * now are often quiet some 100 ms later, and a slot that becomes free costs
 * less than a start on a target that works several times slower. It answers a
 * load with bursts near the capacity and noisy neighbours on a quarter to a
 * third of the VMs.
 */
import type { Random } from '@wisteriavalve/common'
import { effectiveLimit } from './concurrency-limit.js'
import { halfLifeWeight } from './half-life.js'
import { expectedLoad } from './load-estimate.js'
import type { Placement, PlacementRequest } from './placement-types.js'
import type { RoutingState, TargetState } from './types.js'

/** A report of this age or less describes the target now. */
const FRESH_MS = 20
/** Older reports lose weight in the guess at whom to ask first. */
const SLOWDOWN_HALF_LIFE_MS = 100
/** Mean slowdown of a target of which nothing is known. */
const SLOWDOWN_UNKNOWN = 1.8
/** A target that works up to this many times slower than usual counts as quiet. */
const QUIET_SLOWDOWN = 1.6
/** Work takes longer on a target that just started. */
const COLD_SLOWDOWN = 2
/** Targets asked at a time; one good answer is enough, so more would be wasted more often. */
const PROBES_AT_A_TIME = 1
/** Time until targets that were not good are asked again, as a share of the usual work and within bounds. */
const WAIT_SHARE = 0.35
const WAIT_MIN_MS = 15
const WAIT_MAX_MS = 40
/** Share of the usual work that is kept as a reserve when a request waits. */
const WORK_RESERVE = 1.15
/** A target whose last request failed within this time is a second choice. */
const FAILURE_MEMORY_MS = 2_000
/** Cost of such a target among those that are not first choices, in units of the usual work. */
const FAILURE_COST = 1
/** Bodies above this size stay in the availability zone as long as it has a target. */
const LOCAL_BODY_BYTES = 8_192
/** Preference for the own zone among targets that are equally good, in units of the usual work. */
const OTHER_ZONE_COST = 0.15
/** Part of the expected time that must be left; neighbours often become quiet before it is over. */
const EXPECTED_SHARE = 0.8
/** A refused caller that comes back sooner would meet the same queue. */
const RETRY_AFTER_MIN_MS = 100

/** A report up to this age is reason enough to wait for a target or to refuse because of it. */
const KNOWN_MS = 250

const isKnown = (state: TargetState, nowMs: number): boolean => nowMs - state.reportMs <= KNOWN_MS

const isFresh = (state: TargetState, nowMs: number): boolean => nowMs - state.reportMs <= FRESH_MS

const loadOf = (state: TargetState): number => state.inFlight + state.othersInFlight

/** How many times the usual time work takes, by the last report and its age. */
const slowdownOf = (state: TargetState, nowMs: number): number => {
  const weight = state.reportMs === -Infinity ? 0 : halfLifeWeight(nowMs - state.reportMs - FRESH_MS, SLOWDOWN_HALF_LIFE_MS)
  const reported = weight * state.slowdown + (1 - weight) * SLOWDOWN_UNKNOWN
  return state.health === 'cold' ? Math.max(COLD_SLOWDOWN, reported) : reported
}

/** A target with a free slot that works at about its usual speed. */
const isGood = (state: TargetState): boolean => loadOf(state) < state.slots && state.slowdown <= QUIET_SLOWDOWN

/**
 * Some targets fail a part of their requests while they look well. A node sends
 * too little to one target to eject it soon, and a non-idempotent request that
 * fails is lost.
 */
const hasJustFailed = (state: TargetState, nowMs: number): boolean =>
  state.failuresInRow > 0 && nowMs - state.lastFailureMs < FAILURE_MEMORY_MS

/** Servers slow down when their last slot is taken, so such a target is a second choice, as is a cold one. */
const isFirstChoice = (state: TargetState, nowMs: number): boolean =>
  state.health !== 'cold' && loadOf(state) + 1 < state.slots && !hasJustFailed(state, nowMs)

/** Expected time until the answer, in units of the usual work, of a target whose load is known. */
const finishOf = (state: TargetState, load: number, zone: string, nowMs: number): number => {
  const slowdown = slowdownOf(state, nowMs)
  const wait = Math.max(0, load + 1 - state.slots) / state.slots
  // Of targets with free slots, the one with more of them is less likely to be full on arrival.
  const crowding = Math.min(1, load / state.slots) * 0.2
  const failure = hasJustFailed(state, nowMs) ? FAILURE_COST : 0
  return slowdown * (1 + wait) + crowding + failure + (state.target.zone === zone ? 0 : OTHER_ZONE_COST)
}

/** Guess at a target that was not asked just now. */
const guessOf = (state: TargetState, routing: RoutingState, request: PlacementRequest, nowMs: number): number =>
  finishOf(state, expectedLoad(state, routing, request.workMs, nowMs), request.zone, nowMs)

const lowest = (states: readonly TargetState[], costOf: (state: TargetState) => number, random: Random): TargetState | undefined => {
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

const isEligible = (state: TargetState, { exclude, idempotent }: PlacementRequest, failOpen: boolean): boolean =>
  !exclude.has(state.target.id) && (state.health !== 'probation' || idempotent !== false || failOpen)

const isOpen = (state: TargetState, nowMs: number): boolean =>
  state.inFlight < Math.max(effectiveLimit(state), state.slots) && nowMs >= state.avoidUntilMs

const describe = (state: TargetState, nowMs: number): string =>
  `load ${loadOf(state)} of ${state.slots} slots, work takes ${state.slowdown.toFixed(2)} times the usual, report ${Math.round(nowMs - state.reportMs)} ms old`

/** The best target of a group that is known to be good, or the next one to ask. */
const tryGroup = (
  group: readonly TargetState[], routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random
): Placement | undefined => {
  const fresh = group.filter(state => isFresh(state, nowMs) && isGood(state))
  const good = lowest(fresh.filter(state => isFirstChoice(state, nowMs)), state => finishOf(state, loadOf(state), request.zone, nowMs), random)
  if (good) return { step: 'send', targetId: good.target.id, reason: describe(good, nowMs) }
  const unasked = group.filter(state => !request.probed.has(state.target.id) && !isFresh(state, nowMs) && request.mayProbe(state.target.id))
  const targetIds: string[] = []
  for (let count = 0; count < PROBES_AT_A_TIME; count++) {
    const next = lowest(unasked.filter(({ target }) => !targetIds.includes(target.id)), state => guessOf(state, routing, request, nowMs), random)
    if (next) targetIds.push(next.target.id)
  }
  if (targetIds.length > 0) return { step: 'probe', targetIds }
  const second = lowest(fresh, state => finishOf(state, loadOf(state), request.zone, nowMs), random)
  return second && { step: 'send', targetId: second.target.id, reason: `second choice: ${describe(second, nowMs)}` }
}

const waitMs = (workMs: number): number => Math.min(WAIT_MAX_MS, Math.max(WAIT_MIN_MS, WAIT_SHARE * workMs))

/** Time until a slot of the target is free; none when it is only slow, since neighbours come and go. */
const queueMs = (state: TargetState, workMs: number): number =>
  Math.max(0, loadOf(state) + 1 - state.slots) / state.slots * workMs

/** Whether some target can be good early enough for the objective and the deadline. */
const isWorthWaiting = (usable: readonly TargetState[], { objectiveAtMs, deadlineMs, workMs }: PlacementRequest, nowMs: number): boolean => {
  const spareMs = Math.min(objectiveAtMs, deadlineMs) - nowMs - WORK_RESERVE * workMs
  return spareMs >= waitMs(workMs) && usable.some(state => isKnown(state, nowMs) && queueMs(state, workMs) <= spareMs)
}

/**
 * Nothing is good now, and waiting does not help any more. A free slot on a slow
 * target is better than none. When every slot is taken, a further request would
 * only wait in a target's queue, be late itself and make those behind it late,
 * so it is refused. Targets of which nothing is known, because a probe failed or
 * this node is too busy itself, are no reason to refuse.
 */
const settle = (group: readonly TargetState[], request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const finish = (state: TargetState): number => finishOf(state, loadOf(state), request.zone, nowMs)
  const free = lowest(group.filter(state => loadOf(state) < state.slots || !isKnown(state, nowMs)), finish, random)
  const best = free ?? lowest(group, finish, random)
  if (!best) return { step: 'none' }
  const expectedMs = finish(best) * request.workMs
  const isTooLate = isKnown(best, nowMs) && nowMs + EXPECTED_SHARE * expectedMs > request.deadlineMs
  if (request.mayRefuse && (!free || isTooLate)) {
    const backlogMs = Math.min(...group.map(state => queueMs(state, request.workMs)))
    return { step: 'refuse', retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, backlogMs) }
  }
  return { step: 'send', targetId: best.target.id, reason: `none is better: ${describe(best, nowMs)}` }
}

/**
 * Next step for a request that is not placed yet. To be asked again after each
 * answer of a probe and after each wait.
 */
export const planPlacement = (routing: RoutingState, request: PlacementRequest, nowMs: number, random: Random): Placement => {
  const eligible = routing.candidates.filter(state => isEligible(state, request, routing.failOpen))
  if (eligible.length === 0) return { step: 'none' }
  const open = eligible.filter(state => isOpen(state, nowMs))
  const usable = open.length > 0 ? open : eligible
  const near = usable.filter(({ target }) => target.zone === request.zone)
  const far = usable.filter(({ target }) => target.zone !== request.zone)
  const isLocal = near.length > 0 && request.bodyBytes > LOCAL_BODY_BYTES
  const mayWait = request.mayWait && isWorthWaiting(isLocal ? near : usable, request, nowMs)
  const step = tryGroup(near, routing, request, nowMs, random) ??
    (isLocal && mayWait ? undefined : tryGroup(far, routing, request, nowMs, random))
  if (step) return step
  if (request.onlyGood) return { step: 'none' }
  if (mayWait) return { step: 'wait', untilMs: nowMs + waitMs(request.workMs) }
  return settle(usable, request, nowMs, random)
}
