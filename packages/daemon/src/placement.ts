/**
 * Executes the placement of a request: probes targets for their load, waits,
 * and returns the selected target to the attempt.
 */
import { planPlacement, type Placement, type PlacementRequest, type Refused, type Search } from '@wisteriavalve/policy'
import type { Exchange } from './exchange.js'
import { probeLoad } from './load-probes.js'
import type { AttemptPurpose, PipelineContext } from './pipeline-context.js'
import { isolateErrors } from './completion.js'
import { requestIdentity } from './request-identity.js'
import { excludedTargets } from './suspect-isolation.js'

export type PlacementOutcome = Exclude<Placement, { step: 'probe' | 'wait' }>

/**
 * Share of an objective available to this node. Callers measure latency on
 * their side, so the rest is for the network between caller and node.
 */
export const OBJECTIVE_SHARE = 0.92

/**
 * After this many unanswered probes the request is placed by the data at hand.
 * This node itself is then probably short of CPU time, and further probes
 * would use up the time of the request.
 */
const UNANSWERED_PROBES_MAX = 6

/** Time for which a request can wait for a permit and still be answered within its objective. */
export const permitWaitMaxMs = ({ clock, serviceTimes }: PipelineContext, { kind, arrivedMs, deadlineMs }: Exchange): number => {
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return Math.max(0, Math.min(arrivedMs + objectiveMs, deadlineMs) - clock.nowMs() - serviceTimes.usualMs(kind.name, objectiveMs))
}

/**
 * A hedge does not wait, since it would be sent too late. Retries and hedges
 * are not refused, since a refusal would hide the result of the first attempt.
 */
const placementRequest = (
  context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, { probed, canProbe }: Pick<PlacementRequest, 'probed' | 'canProbe'>
): PlacementRequest => {
  const { kind, arrivedMs, deadlineMs } = exchange
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return {
    zone: context.zone,
    exclude: excludedTargets(context, exchange),
    idempotent: kind.idempotent,
    bodyBytes: exchange.body.sizeBytes(),
    serviceTimeMs: context.serviceTimes.usualMs(kind.name, objectiveMs),
    objectiveEndMs: arrivedMs + objectiveMs,
    deadlineMs,
    permitWaitMaxMs: purpose === 'hedge' ? 0 : permitWaitMaxMs(context, exchange),
    probed,
    canProbe,
    canWait: purpose !== 'hedge',
    canRefuse: purpose === 'first',
    requiresFreeAndFast: purpose === 'hedge'
  }
}

/** Identifies a request that is repeated on the connection of its caller. Equal requests of other callers arrive on other connections. */
const repeatIdentity = (exchange: Exchange): string | undefined => {
  const identity = requestIdentity(exchange)
  return identity === undefined ? undefined : `${exchange.call.address} ${exchange.call.req.socket.remotePort} ${identity}`
}

/** Starts the search of a request that may be refused because of the load. */
const beginSearch = (context: PipelineContext, exchange: Exchange, resume: () => void): Search | Refused => {
  const { runtime, kind, arrivedMs, deadlineMs } = exchange
  const nowMs = context.clock.nowMs()
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return runtime.scarcity.begin({
    weight: kind.weight,
    serviceTimeMs: context.serviceTimes.usualMs(kind.name, objectiveMs),
    objectiveEndMs: arrivedMs + objectiveMs,
    deadlineMs,
    identity: () => repeatIdentity(exchange),
    resume
  }, runtime.table.routing(nowMs), nowMs, context.random)
}

/** @param onPlaced called once, unless the request ends earlier */
export const place = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, onPlaced: (outcome: PlacementOutcome) => void): void => {
  const { runtime } = exchange
  const probed = new Set<string>()
  let pendingCount = 0
  let unansweredCount = 0
  let search: Search | undefined

  const canProbe = (targetId: string): boolean =>
    unansweredCount < UNANSWERED_PROBES_MAX && context.probeAllowance.has(targetId, context.clock.nowMs())

  const isRunning = (): boolean => exchange.phase === 'running'

  const resume = (): void => isolateErrors(context, exchange, () => { if (isRunning()) step() })

  const finish = (outcome: PlacementOutcome): void => {
    const nowMs = context.clock.nowMs()
    if (outcome.step === 'send') search?.recordSent(nowMs)
    const completed = search && outcome.step === 'refuse' && outcome.cause === 'late' ? search.refuse(outcome, nowMs) : outcome
    search?.end()
    onPlaced(completed)
  }

  const resumeEarly = (): void => {
    if (exchange.placementTimer) context.wheel.cancel(exchange.placementTimer)
    probed.clear()
    resume()
  }

  const sendProbes = (targetIds: readonly string[]): void => {
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
    const request = { ...placementRequest(context, exchange, purpose, { probed, canProbe }), ...search?.limits(nowMs) }
    const placement = planPlacement(runtime.table.routing(nowMs), request, nowMs, context.random)
    if (placement.step === 'probe') sendProbes(placement.targetIds)
    else if (placement.step === 'wait') {
      search?.recordWait(nowMs)
      exchange.placementTimer = context.wheel.schedule(placement.untilMs, () => {
        probed.clear()
        resume()
      })
    } else if (placement.step === 'send' && search?.yieldToMoreUrgent()) step()
    else finish(placement)
  }

  if (purpose === 'first') {
    const begun = beginSearch(context, exchange, resumeEarly)
    if ('step' in begun) {
      onPlaced(begun)
      return
    }
    search = begun
    exchange.search = begun
  }
  step()
}
