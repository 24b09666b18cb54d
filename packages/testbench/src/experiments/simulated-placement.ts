/**
 * Places the requests of a simulated node by load probes, with the decisions and
 * in the order of the daemon (daemon/src/placement.ts), over a simulated network.
 */
import type { Random } from '@wisteriavalve/common'
import {
  createProbeAllowance, createResponseSizes, createServiceTimes, createZoneOverflow, createZoneRoundTrips, planPlacement,
  type LoadReport, type OverflowOutcome, type Placement, type PlacementRequest, type Refused, type Scarcity, type Search, type TargetTable
} from '@wisteriavalve/policy'
import type { SimulatedKind } from './deployments.js'
import type { SimulatedTarget } from './simulated-target.js'
import type { SimulationClock } from './simulation-clock.js'

export type Destination = { target: SimulatedTarget, oneWayMs: number }

/** Asks a target for a load report; the result is undefined if it does not answer. */
export type SendProbe = (destination: Destination, onResult: (report: LoadReport | undefined) => void) => void

export type PlacementOptions = {
  clock: SimulationClock
  random: Random
  zone: string
  table: TargetTable
  targets: ReadonlyMap<string, Destination>
  nodeCount: number
  probesPerTargetPerS: number
  sendProbe: SendProbe
  /** Absent if requests are placed without regard to their priority. */
  scarcity?: Scarcity
  /** Absent if requests may leave their zone without a limit. */
  crossZoneMsPerKb?: number
  onShare?: (share: number) => void
}

export type PlacedRequest = {
  kind: SimulatedKind
  /** Identity of a request that its caller sends again. */
  identity: string | undefined
  startedMs: number
  deadlineMs: number
  exclude: ReadonlySet<string>
  isFirst: boolean
  isRunning: () => boolean
}

type PlacementOutcome = Exclude<Placement, { step: 'probe' | 'wait' }>

export type SimulatedPlacement = {
  /** @param onPlaced called with undefined if the request is refused */
  place: (request: PlacedRequest, onPlaced: (targetId: string | undefined, retryAfterMs?: number) => void) => void
  recordResponse: (kind: SimulatedKind, durationMs: number, slowdown: number) => void
  /** Records that a request failed at its targets and is not retried. */
  recordLost: (kind: SimulatedKind, nowMs: number) => void
}

/** Values of the daemon. */
const OBJECTIVE_SHARE = 0.92
const UNANSWERED_PROBES_MAX = 6

export const createSimulatedPlacement = (options: PlacementOptions): SimulatedPlacement => {
  const { clock, random, zone, table, targets, crossZoneMsPerKb, scarcity } = options
  const allowance = createProbeAllowance(options.probesPerTargetPerS, () => options.nodeCount)
  const serviceTimes = createServiceTimes()
  const sizes = createResponseSizes()
  const roundTrips = createZoneRoundTrips()
  const overflow = createZoneOverflow()

  const probe = (targetId: string, done: (isAnswered: boolean) => void): void => {
    const destination = targets.get(targetId)
    if (!destination) return
    const sentMs = clock.nowMs()
    allowance.take(targetId, sentMs)
    options.sendProbe(destination, report => {
      const nowMs = clock.nowMs()
      if (report) {
        table.recordLoadReport(targetId, report, nowMs)
        roundTrips.record(table.target(targetId)?.zone ?? '', nowMs - sentMs)
      } else table.recordLoadProbeFailure(targetId, nowMs)
      done(report !== undefined)
    })
  }

  const place: SimulatedPlacement['place'] = ({ kind, identity, startedMs, deadlineMs, exclude, isFirst, isRunning }, onPlaced) => {
    const probed = new Set<string>()
    const placingMs = clock.nowMs()
    const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
    let outcome: OverflowOutcome = 'stayed'
    let unansweredCount = 0
    let waitNumber = 0

    const toRequest = (nowMs: number): PlacementRequest => ({
      zone,
      exclude,
      idempotent: kind.idempotent,
      bodyBytes: kind.requestBytes ?? 0,
      serviceTimeMs: serviceTimes.usualMs(kind.name, objectiveMs),
      objectiveEndMs: startedMs + objectiveMs,
      deadlineMs,
      probed,
      canProbe: targetId => unansweredCount < UNANSWERED_PROBES_MAX && allowance.has(targetId, nowMs),
      canWait: true,
      canRefuse: isFirst,
      requiresFreeAndFast: false,
      ...(scarcity && { avoidsReportedFull: true, ...search?.limits(nowMs) }),
      ...(crossZoneMsPerKb !== undefined && {
        crossing: {
          bytes: (kind.requestBytes ?? 0) + sizes.usualBytes(kind.name),
          msPerKb: crossZoneMsPerKb,
          waitedMs: nowMs - placingMs,
          roundTripMs: roundTrips.usualMs,
          mayLeave: overflow.mayLeave
        }
      })
    })

    const finish = (placement: PlacementOutcome): void => {
      const nowMs = clock.nowMs()
      if (placement.step === 'send') search?.recordSent(nowMs)
      const outcomeOfSearch = search && placement.step === 'refuse' && placement.cause === 'late' ? search.refuse(placement, nowMs) : placement
      search?.end()
      overflow.record(outcome, nowMs)
      if (crossZoneMsPerKb !== undefined) options.onShare?.(overflow.share())
      if (outcomeOfSearch.step === 'send') onPlaced(outcomeOfSearch.targetId)
      else onPlaced(undefined, outcomeOfSearch.step === 'refuse' ? outcomeOfSearch.retryAfterMs : undefined)
    }

    const sendProbes = (targetIds: readonly string[]): void => {
      for (const targetId of targetIds) {
        probed.add(targetId)
        probe(targetId, isAnswered => {
          if (!isAnswered) unansweredCount++
          step()
        })
      }
    }

    const retry = (): void => {
      waitNumber++
      probed.clear()
      step()
    }

    const waitUntil = (untilMs: number): void => {
      search?.recordWait(clock.nowMs())
      const current = ++waitNumber
      clock.at(untilMs, () => { if (current === waitNumber) retry() })
    }

    const step = (): void => {
      if (!isRunning()) return search?.end()
      const nowMs = clock.nowMs()
      const placement = planPlacement(table.routing(nowMs), toRequest(nowMs), nowMs, random)
      if (placement.overflow) outcome = placement.overflow
      if (placement.step === 'probe') sendProbes(placement.targetIds)
      else if (placement.step === 'wait') waitUntil(placement.untilMs)
      else if (placement.step === 'send' && search?.yieldToMoreUrgent()) step()
      else finish(placement)
    }

    const beginSearch = (): Search | Refused | undefined => isFirst
      ? scarcity?.begin({
        weight: kind.weight,
        serviceTimeMs: serviceTimes.usualMs(kind.name, objectiveMs),
        objectiveEndMs: startedMs + objectiveMs,
        deadlineMs,
        identity: () => identity,
        resume: retry
      }, table.routing(placingMs), placingMs, random)
      : undefined

    const begun = beginSearch()
    if (begun && 'step' in begun) return onPlaced(undefined, begun.retryAfterMs)
    const search = begun
    step()
  }

  return {
    place,
    recordResponse: (kind, durationMs, slowdown) => {
      serviceTimes.record(kind.name, durationMs, slowdown)
      sizes.record(kind.name, kind.responseBytes ?? 0)
    },
    recordLost: ({ weight }, nowMs) => scarcity?.recordTaken(weight, nowMs)
  }
}
