/**
 * Placement of the requests of a simulated node with load probes, in the same
 * order as packages/daemon/src/placement.ts.
 */
import type { Random } from '@wisteriavalve/common'
import { createProbeAllowance, createServiceTimes, planPlacement, type Scarcity, type Search, type TargetTable } from '@wisteriavalve/policy'
import type { SimulatedKind } from './deployments.js'
import type { PendingRequest } from './simulated-node.js'
import type { SimulatedTarget } from './simulated-target.js'
import type { SimulationClock } from './simulation-clock.js'

export type ProbeOptions = {
  ratePerTargetPerS: number
  nodeCount: number
  /** Without it, requests are placed without regard to their priority. */
  scarcity?: Scarcity
  /** Whether targets answer load probes now. */
  isAnswered: () => boolean
}

export type PlacementOptions = {
  clock: SimulationClock
  random: Random
  zone: string
  table: TargetTable
  targets: ReadonlyMap<string, { target: SimulatedTarget, oneWayMs: number }>
  probes: ProbeOptions
}

/** Values of the daemon. */
const OBJECTIVE_SHARE = 0.92
const UNANSWERED_PROBES_MAX = 6
const PROBE_TIMEOUT_MS = 30
/** Time that a target takes for a load report. */
const PROBE_MS = 1

export const createSimulatedPlacement = ({ clock, random, zone, table, targets, probes }: PlacementOptions) => {
  const allowance = createProbeAllowance(probes.ratePerTargetPerS, () => probes.nodeCount)
  const serviceTimes = createServiceTimes()

  const probe = (targetId: string, done: (isAnswered: boolean) => void): void => {
    const { target, oneWayMs } = targets.get(targetId) as { target: SimulatedTarget, oneWayMs: number }
    const isAnswered = probes.isAnswered()
    const report = isAnswered ? target.report() : undefined
    // A crashed target refuses the connection.
    clock.at(clock.nowMs() + (isAnswered ? 2 * oneWayMs + PROBE_MS : PROBE_TIMEOUT_MS), () => {
      const nowMs = clock.nowMs()
      if (report) table.recordLoadReport(targetId, report, nowMs)
      else table.recordLoadProbeFailure(targetId, nowMs)
      done(report !== undefined)
    })
  }

  const place = (request: PendingRequest, onTarget: (targetId: string) => void, onFailed: () => void): void => {
    const { kind, startedMs, deadlineMs } = request
    const isFirst = request.attempts.length === 0
    const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
    const probed = new Set<string>()
    const serviceTimeMs = serviceTimes.usualMs(kind.name, objectiveMs)
    let unansweredCount = 0
    let wait = 0
    let search: Search | undefined

    const step = (): void => {
      if (request.isSettled) return search?.end()
      const nowMs = clock.nowMs()
      const placement = planPlacement(table.routing(nowMs), {
        zone,
        exclude: new Set(request.attempts.map(({ targetId }) => targetId)),
        idempotent: kind.idempotent,
        bodyBytes: 0,
        serviceTimeMs,
        objectiveEndMs: startedMs + objectiveMs,
        deadlineMs,
        probed,
        canProbe: targetId => unansweredCount < UNANSWERED_PROBES_MAX && allowance.has(targetId, nowMs),
        canWait: true,
        canRefuse: isFirst,
        requiresFreeAndFast: false,
        ...search?.limits(nowMs)
      }, nowMs, random)
      if (placement.step === 'probe') {
        for (const targetId of placement.targetIds) {
          probed.add(targetId)
          allowance.take(targetId, nowMs)
          probe(targetId, isAnswered => {
            if (!isAnswered) unansweredCount++
            step()
          })
        }
      } else if (placement.step === 'wait') {
        search?.recordWait(nowMs)
        const current = ++wait
        clock.at(placement.untilMs, () => { if (current === wait) retry() })
      } else if (placement.step === 'send') {
        if (search?.yieldToMoreUrgent()) return step()
        search?.recordSent(nowMs)
        onTarget(placement.targetId)
      } else {
        if (placement.step === 'refuse') request.retryAfterMs = (search && placement.cause === 'late' ? search.refuse(placement, nowMs) : placement).retryAfterMs
        search?.end()
        onFailed()
      }
    }

    const retry = (): void => {
      wait++
      probed.clear()
      step()
    }

    if (isFirst && probes.scarcity) {
      const begun = probes.scarcity.begin({
        weight: kind.weight, serviceTimeMs, objectiveEndMs: startedMs + objectiveMs, deadlineMs, identity: () => request.identity, resume: retry
      }, table.routing(clock.nowMs()), clock.nowMs(), random)
      if ('step' in begun) {
        request.retryAfterMs = begun.retryAfterMs
        return onFailed()
      }
      search = begun
    }
    step()
  }

  return { place, recordServed: (kind: SimulatedKind, durationMs: number, slowdown: number) => serviceTimes.record(kind.name, durationMs, slowdown) }
}
