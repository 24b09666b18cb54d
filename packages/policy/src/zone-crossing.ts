/**
 * Placement of a request when requests that leave their zone are limited. The own
 * zone comes first. Another zone is used if that is worth the round trip and the
 * bytes and the limit allows it; otherwise the request waits, or is refused, as it
 * would be without other zones. A zone that has no target, or only cold ones while
 * others have warm ones, counts as full, and the limit does not apply to its
 * requests.
 */
import type { Placement, PlacementRequest, ZoneCrossing } from './types/placement.js'
import type { TargetState } from './types.js'
import { byteCostMs, findLeaveCause, type LeaveCause, type OverflowOutcome } from './zone-overflow.js'

/** Steps of the placement for one request; see placement.ts. */
export type CrossingSteps = {
  /** A free and fast target of a group, or a probe of the group. */
  choose: (group: readonly TargetState[]) => Placement | undefined
  /** The choice when no target is free and fast and the request cannot wait. */
  fallBack: (group: readonly TargetState[]) => Placement
  /** Expected time until the response of a target that is not free and fast. */
  expectedHomeMs: (state: TargetState) => number
  /** Whether a recent report of the target shows a free slot. */
  hasRecentlyFree: (state: TargetState) => boolean
  /** Until when the request waits for the group; undefined if it cannot wait. */
  waitUntilMs: (group: readonly TargetState[]) => number | undefined
}

/** Part of the time that a request has waited by which it is expected to wait further: a wait that has lasted long is likely to go on. */
const WAITED_SHARE = 0.5
/**
 * A request leaves this long before it would miss its objective, in units of the
 * usual service time, so there is time for several probes of other zones.
 */
const LEAVE_RESERVE = 1

type Causes = ReadonlyMap<string, LeaveCause>

/** Why the request is worth sending to each of the other zones; a zone that is not worth it has no entry. */
const findLeaveCauses = (
  zoneTargets: readonly TargetState[], otherZoneTargets: readonly TargetState[], crossing: ZoneCrossing, request: PlacementRequest, nowMs: number, steps: CrossingSteps
): Causes => {
  const { serviceTimeMs, objectiveEndMs, deadlineMs, canWait } = request
  const remainingMs = Math.min(objectiveEndMs, deadlineMs) - nowMs
  // The request takes the first target that becomes free.
  const waitMs = (Math.min(...zoneTargets.map(steps.expectedHomeMs)) - serviceTimeMs) / zoneTargets.length
  const hasWaited = canWait && steps.waitUntilMs([...zoneTargets, ...otherZoneTargets]) === undefined
  const homeMs = hasWaited ? Infinity : serviceTimeMs + Math.max(waitMs, WAITED_SHARE * crossing.waitedMs)
  const causes = new Map<string, LeaveCause>()
  for (const zone of new Set(otherZoneTargets.map(({ target }) => target.zone))) {
    const cause = findLeaveCause({ homeMs, awayMs: serviceTimeMs, roundTripMs: crossing.roundTripMs(zone), bytesMs: byteCostMs(crossing), remainingMs, reserveMs: LEAVE_RESERVE * serviceTimeMs })
    if (cause) causes.set(zone, cause)
  }
  return causes
}

/** Targets of other zones that may have a free slot. A zone without a recent report of one is probed once. */
const possiblyFree = (targets: readonly TargetState[], { probed }: PlacementRequest, { hasRecentlyFree }: CrossingSteps): TargetState[] => {
  const freeZones = new Set(targets.filter(hasRecentlyFree).map(({ target }) => target.zone))
  const probedZones = new Set(targets.filter(({ target }) => probed.has(target.id)).map(({ target }) => target.zone))
  return targets.filter(({ target }) => freeZones.has(target.zone) || !probedZones.has(target.zone))
}

const CAUSE_TEXT: Record<LeaveCause, string> = { 'misses-objective': 'it would miss its objective in its own zone', 'saves-time': 'that saves time' }

/** Adds to the reason of a step why the request leaves its zone. */
const leave = (step: Placement & { step: 'send' }, zone: string, cause: LeaveCause, crossing: ZoneCrossing): Placement => ({
  ...step,
  reason: `sent to ${zone} since ${CAUSE_TEXT[cause]}, round trip ${Math.round(crossing.roundTripMs(zone))} ms, ${Math.round(crossing.bytes)} bytes: ${step.reason}`,
  overflow: 'left'
})

const isWarm = ({ health }: TargetState): boolean => health !== 'cold'

const zoneOf = (targets: readonly TargetState[], targetId: string): string | undefined => targets.find(({ target }) => target.id === targetId)?.target.zone

/** Next step without a limit: other zones first, then the cold targets of the own zone. */
const planOutsideZone = (zoneTargets: readonly TargetState[], otherZoneTargets: readonly TargetState[], { requiresFreeAndFast }: PlacementRequest, steps: CrossingSteps): Placement => {
  const usable = [...otherZoneTargets, ...zoneTargets]
  const step = steps.choose(otherZoneTargets) ?? steps.choose(zoneTargets)
  if (step) return step.step === 'send' ? { ...step, reason: `no warm target in its own zone: ${step.reason}` } : step
  if (requiresFreeAndFast) return { step: 'none' }
  const untilMs = steps.waitUntilMs(usable)
  return untilMs === undefined ? steps.fallBack(usable) : { step: 'wait', untilMs }
}

/** Next step when no target is free and fast in a zone where the request may be sent. */
const planWithoutFreeTarget = (
  zoneTargets: readonly TargetState[], otherZoneTargets: readonly TargetState[], crossing: ZoneCrossing, overflow: OverflowOutcome, steps: CrossingSteps
): Placement => {
  const untilMs = steps.waitUntilMs([...zoneTargets, ...otherZoneTargets])
  if (untilMs !== undefined) return { step: 'wait', untilMs, overflow }
  const lastResort = crossing.mayLeave('misses-objective') ? otherZoneTargets.filter(steps.hasRecentlyFree) : []
  const step = steps.fallBack([...zoneTargets, ...lastResort])
  const zone = step.step === 'send' ? zoneOf(lastResort, step.targetId) : undefined
  return step.step === 'send' && zone !== undefined ? leave(step, zone, 'misses-objective', crossing) : { ...step, overflow }
}

export const planWithCrossing = (
  usable: readonly TargetState[], crossing: ZoneCrossing, request: PlacementRequest, nowMs: number, steps: CrossingSteps
): Placement => {
  const zoneTargets = usable.filter(({ target }) => target.zone === request.zone)
  const otherZoneTargets = usable.filter(({ target }) => target.zone !== request.zone)
  const warmElsewhere = otherZoneTargets.filter(isWarm)
  if (zoneTargets.length === 0) return planOutsideZone(zoneTargets, otherZoneTargets, request, steps)
  if (!zoneTargets.some(isWarm) && warmElsewhere.length > 0) return planOutsideZone(zoneTargets, warmElsewhere, request, steps)
  const home = steps.choose(zoneTargets)
  if (home) return home
  const causes = findLeaveCauses(zoneTargets, otherZoneTargets, crossing, request, nowMs, steps)
  const worthwhile = otherZoneTargets.filter(({ target }) => causes.has(target.zone))
  const allowed = worthwhile.filter(({ target }) => crossing.mayLeave(causes.get(target.zone) as LeaveCause))
  const away = steps.choose(possiblyFree(allowed, request, steps))
  if (away?.step === 'send') {
    const zone = zoneOf(allowed, away.targetId) as string
    return leave(away, zone, causes.get(zone) as LeaveCause, crossing)
  }
  if (away) return away
  const overflow = worthwhile.length === 0 ? 'stayed' : allowed.length === 0 ? 'limited' : 'none-free'
  if (request.requiresFreeAndFast) return { step: 'none', overflow }
  return planWithoutFreeTarget(zoneTargets, otherZoneTargets, crossing, overflow, steps)
}
