/**
 * Executes the placement of a request: probes targets for their load, waits,
 * and returns the selected target to the attempt.
 */
import { planPlacement, type OverflowOutcome, type Placement, type PlacementRequest, type Refused, type Search } from '@wisteriavalve/policy'
import type { Exchange } from './exchange.js'
import { probeLoad } from './load-probes.js'
import type { AttemptPurpose, PipelineContext } from './pipeline-context.js'
import { isolateErrors } from './completion.js'
import { requestIdentity } from './request-identity.js'
import { excludedTargets } from './suspect-isolation.js'
import { zoneCrossing } from './zone-traffic.js'

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

type PlacedRequest = Pick<Exchange, 'kind' | 'arrivedMs' | 'deadlineMs' | 'allowedZones'>

/** Time for which a request can wait for a permit and still be answered within its objective. */
export const permitWaitMaxMs = ({ clock, serviceTimes }: Pick<PipelineContext, 'clock' | 'serviceTimes'>, { kind, arrivedMs, deadlineMs }: PlacedRequest): number => {
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return Math.max(0, Math.min(arrivedMs + objectiveMs, deadlineMs) - clock.nowMs() - serviceTimes.usualMs(kind.name, objectiveMs))
}

/**
 * A hedge does not wait, since it would be sent too late. Retries and hedges
 * are not refused, since a refusal would hide the result of the first attempt.
 */
export const createPlacementRequest = (
  context: Pick<PipelineContext, 'clock' | 'serviceTimes' | 'zone'>, request: PlacedRequest, purpose: AttemptPurpose,
  fields: Pick<PlacementRequest, 'probed' | 'canProbe' | 'exclude' | 'bodyBytes' | 'warmupDraw' | 'crossing'>
): PlacementRequest => {
  const { kind, arrivedMs, deadlineMs } = request
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return {
    ...fields,
    zone: context.zone,
    idempotent: kind.idempotent,
    allowedZones: request.allowedZones,
    serviceTimeMs: context.serviceTimes.usualMs(kind.name, objectiveMs),
    objectiveEndMs: arrivedMs + objectiveMs,
    deadlineMs,
    permitWaitMaxMs: purpose === 'hedge' ? 0 : permitWaitMaxMs(context, request),
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

/** Starts the search of a request that may be refused because of the load; undefined without admission by priority. */
const beginSearch = (context: PipelineContext, exchange: Exchange, resume: () => void): Search | Refused | undefined => {
  const { runtime, kind, arrivedMs, deadlineMs } = exchange
  const nowMs = context.clock.nowMs()
  const objectiveMs = (kind.objectiveMs ?? kind.deadlineMs) * OBJECTIVE_SHARE
  return runtime.scarcity?.begin({
    weight: kind.weight,
    serviceTimeMs: context.serviceTimes.usualMs(kind.name, objectiveMs),
    objectiveEndMs: arrivedMs + objectiveMs,
    deadlineMs,
    identity: () => repeatIdentity(exchange),
    resume
  }, runtime.table.routing(nowMs), nowMs, context.random)
}

/** Adds the limits of the admission by priority to a request; without it, the request is not changed. */
export const limitByPriority = (request: PlacementRequest, { scarcity }: Pick<Exchange['runtime'], 'scarcity'>, search: Search | undefined, nowMs: number): PlacementRequest =>
  scarcity ? { ...request, avoidsReportedFull: true, ...search?.limits(nowMs) } : request

/** @param onPlaced called once, unless the request ends earlier */
export const place = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, onPlaced: (outcome: PlacementOutcome) => void): void => {
  const { runtime } = exchange
  const probed = new Set<string>()
  const warmupDraw = context.random.next()
  const startedMs = context.clock.nowMs()
  let overflow: OverflowOutcome = 'stayed'
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
    const completed = search && outcome.step === 'refuse' && outcome.cause === 'late' ? { ...outcome, ...search.refuse(outcome, nowMs) } : outcome
    search?.end()
    runtime.overflow.record(overflow, nowMs)
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
    const bodyBytes = exchange.body.sizeBytes()
    const request = createPlacementRequest(context, exchange, purpose, {
      probed,
      canProbe,
      warmupDraw,
      exclude: excludedTargets(context, exchange),
      bodyBytes,
      crossing: zoneCrossing(context, exchange, bodyBytes, nowMs - startedMs)
    })
    const placement = planPlacement(runtime.table.routing(nowMs), limitByPriority(request, runtime, search, nowMs), nowMs, context.random)
    overflow = placement.overflow ?? overflow
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
    if (begun && 'step' in begun) {
      onPlaced(begun)
      return
    }
    search = begun
    exchange.search = begun
  }
  step()
}
