/**
 * Places the requests of a simulated node by load probes, with the decisions and
 * in the order of the daemon (daemon/src/placement.ts), over a simulated network.
 */
import type { Random } from '@wisteriavalve/common'
import {
  createProbeAllowance, createResponseSizes, createServiceTimes, createZoneOverflow, createZoneRoundTrips, planPlacement,
  type OverflowOutcome, type PlacementRequest, type TargetTable
} from '@wisteriavalve/policy'
import type { SimulatedKind } from './deployments.js'
import type { SimulatedTarget } from './simulated-target.js'
import type { SimulationClock } from './simulation-clock.js'

export type PlacementOptions = {
  clock: SimulationClock
  random: Random
  zone: string
  table: TargetTable
  targets: ReadonlyMap<string, { target: SimulatedTarget, oneWayMs: number }>
  nodeCount: number
  probesPerTargetPerS: number
  /** Absent if requests may leave their zone without a limit. */
  crossZoneMsPerKb?: number
  onShare?: (share: number) => void
}

export type PlacedRequest = {
  kind: SimulatedKind
  startedMs: number
  deadlineMs: number
  exclude: ReadonlySet<string>
  isFirst: boolean
  isRunning: () => boolean
}

export type SimulatedPlacement = {
  /** @param onPlaced called with undefined if the request is refused */
  place: (request: PlacedRequest, onPlaced: (targetId: string | undefined) => void) => void
  recordResponse: (kind: SimulatedKind, durationMs: number, slowdown: number) => void
}

const OBJECTIVE_SHARE = 0.92
const PROBE_TIMEOUT_MS = 30

export const createSimulatedPlacement = (options: PlacementOptions): SimulatedPlacement => {
  const { clock, random, zone, table, targets, crossZoneMsPerKb } = options
  const allowance = createProbeAllowance(options.probesPerTargetPerS, () => options.nodeCount)
  const serviceTimes = createServiceTimes()
  const sizes = createResponseSizes()
  const roundTrips = createZoneRoundTrips()
  const overflow = createZoneOverflow()

  const probe = (targetId: string, done: () => void): void => {
    const destination = targets.get(targetId)
    if (!destination) return
    const { target, oneWayMs } = destination
    const sentMs = clock.nowMs()
    allowance.take(targetId, sentMs)
    clock.at(sentMs + oneWayMs, () => {
      const report = target.report()
      clock.at(report ? clock.nowMs() + oneWayMs : sentMs + PROBE_TIMEOUT_MS, () => {
        const nowMs = clock.nowMs()
        if (report) {
          table.recordLoadReport(targetId, report, nowMs)
          roundTrips.record(table.target(targetId)?.zone ?? '', nowMs - sentMs)
        } else table.recordLoadProbeFailure(targetId, nowMs)
        done()
      })
    })
  }

  const place: SimulatedPlacement['place'] = ({ kind, startedMs, deadlineMs, exclude, isFirst, isRunning }, onPlaced) => {
    const probed = new Set<string>()
    const placingMs = clock.nowMs()
    const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
    let outcome: OverflowOutcome = 'stayed'

    const toRequest = (nowMs: number): PlacementRequest => ({
      zone,
      exclude,
      idempotent: kind.idempotent,
      bodyBytes: kind.requestBytes ?? 0,
      serviceTimeMs: serviceTimes.usualMs(kind.name, objectiveMs),
      objectiveEndMs: startedMs + objectiveMs,
      deadlineMs,
      probed,
      canProbe: targetId => allowance.has(targetId, nowMs),
      canWait: true,
      canRefuse: isFirst,
      requiresFreeAndFast: false,
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

    const finish = (targetId: string | undefined): void => {
      overflow.record(outcome, clock.nowMs())
      if (crossZoneMsPerKb !== undefined) options.onShare?.(overflow.share())
      onPlaced(targetId)
    }

    const step = (): void => {
      if (!isRunning()) return
      const nowMs = clock.nowMs()
      const placement = planPlacement(table.routing(nowMs), toRequest(nowMs), nowMs, random)
      if (placement.overflow) outcome = placement.overflow
      if (placement.step === 'probe') {
        for (const targetId of placement.targetIds) {
          probed.add(targetId)
          probe(targetId, step)
        }
      } else if (placement.step === 'wait') {
        clock.at(placement.untilMs, () => {
          probed.clear()
          step()
        })
      } else finish(placement.step === 'send' ? placement.targetId : undefined)
    }
    step()
  }

  return {
    place,
    recordResponse: (kind, durationMs, slowdown) => {
      serviceTimes.record(kind.name, durationMs, slowdown)
      sizes.record(kind.name, kind.responseBytes ?? 0)
    }
  }
}
