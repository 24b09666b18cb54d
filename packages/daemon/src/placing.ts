/**
 * Carries out the steps by which a request is placed: asks targets for their
 * load, waits, and hands the chosen target to the attempt.
 */
import { planPlacement, type Placement, type PlacementRequest } from '@wisteriavalve/policy'
import type { Exchange } from './exchange.js'
import { probeLoad } from './load-probes.js'
import type { AttemptPurpose, PipelineContext } from './pipeline-context.js'
import { contain } from './settlement.js'

export type PlacementOutcome = Exclude<Placement, { step: 'probe' | 'wait' }>

/** Part of an objective that the way between the caller and this node leaves; callers count it from their side. */
export const OBJECTIVE_SHARE = 0.92

/**
 * After so many probes without an answer the request is placed by what is known
 * already: then this node is likely to be short of processor time itself, and
 * asking one target after the other would use up the time of the request.
 */
const UNANSWERED_PROBES_MAX = 6

/** A hedge that waits would come too late, and a refusal of a repeat would hide what the first attempt met. */
const requestOf = (
  context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, { probed, mayProbe }: Pick<PlacementRequest, 'probed' | 'mayProbe'>
): PlacementRequest => {
  const { kind, tried, arrivedMs, deadlineMs } = exchange
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return {
    zone: context.zone,
    exclude: tried,
    idempotent: kind.idempotent,
    bodyBytes: exchange.body.sizeBytes(),
    workMs: context.workTimes.usualMs(kind.name, objectiveMs),
    objectiveAtMs: arrivedMs + objectiveMs,
    deadlineMs,
    probed,
    mayProbe,
    mayWait: purpose !== 'hedge',
    mayRefuse: purpose === 'first',
    onlyGood: purpose === 'hedge'
  }
}

/** @param onPlaced called once, unless the request ends before */
export const place = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, onPlaced: (outcome: PlacementOutcome) => void): void => {
  const { runtime } = exchange
  const probed = new Set<string>()
  let pendingCount = 0
  let unansweredCount = 0

  const mayProbe = (targetId: string): boolean =>
    unansweredCount < UNANSWERED_PROBES_MAX && context.probeAllowance.has(targetId, context.clock.nowMs())

  const isRunning = (): boolean => exchange.phase === 'running'

  const resume = (): void => contain(context, exchange, () => { if (isRunning()) step() })

  const probe = (targetIds: readonly string[]): void => {
    for (const targetId of targetIds) {
      probed.add(targetId)
      context.probeAllowance.take(targetId, context.clock.nowMs())
      pendingCount++
      probeLoad(context, runtime, targetId, isAnswered => {
        pendingCount--
        if (!isAnswered) unansweredCount++
        if (pendingCount === 0) resume()
      })
    }
  }

  const step = (): void => {
    const nowMs = context.clock.nowMs()
    const placement = planPlacement(runtime.table.routing(nowMs), requestOf(context, exchange, purpose, { probed, mayProbe }), nowMs, context.random)
    if (placement.step === 'probe') probe(placement.targetIds)
    else if (placement.step === 'wait') {
      exchange.placementCheck = context.wheel.schedule(placement.untilMs, () => {
        probed.clear()
        resume()
      })
    } else onPlaced(placement)
  }

  step()
}
