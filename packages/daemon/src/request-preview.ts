/**
 * Where a request would go now, and why, without sending it. A preview reads what
 * this node knows of the targets. It counts nothing, sends no probe, and uses no
 * permit, retry or probe allowance, so it changes no later decision.
 */
import { planPlacement, selectTarget, type Destination, type Placement, type PolicyName, type Selection } from '@wisteriavalve/policy'
import type { Random } from '@wisteriavalve/common'
import type { TargetStatus } from '@wisteriavalve/schema'
import type { PreviewDecision, PreviewQuery, RequestPreview, ServicePreview } from './admin-api.js'
import { createPlacementRequest } from './placement.js'
import type { PipelineContext } from './pipeline-context.js'
import type { ServiceRuntime } from './service-runtimes.js'
import { zoneCrossing } from './zone-traffic.js'

export type PreviewContext = Pick<PipelineContext, 'clock' | 'zone' | 'policy' | 'probesBeforeAttempt' | 'serviceTimes' | 'runtimes' | 'crossZoneMsPerKb' | 'roundTrips'> & {
  nodeId: string
  /** Of its own, so that a preview does not change the random choices of requests. */
  random: Random
}

const describePlacement = (placement: Placement): PreviewDecision => {
  if (placement.step === 'send') return { outcome: 'send', targetId: placement.targetId, reason: placement.reason }
  if (placement.step === 'refuse') return { outcome: 'refuse', reason: placement.detail ?? `the request cannot be served in time (${placement.cause})`, retryAfterMs: Math.round(placement.retryAfterMs) }
  if (placement.step === 'wait') return { outcome: 'wait', reason: 'no target is free and fast, and the objective leaves time to wait' }
  return { outcome: 'none', reason: 'no target is usable' }
}

/** The decision of a node that probes targets before each attempt: the target probed first, and the choice if no probe is answered. */
const previewPlacement = (context: PreviewContext, runtime: ServiceRuntime, { kind, allowedZones }: Destination, bodyBytes: number): Pick<ServicePreview, 'probesFirst' | 'decision'> => {
  const { table } = runtime
  const nowMs = context.clock.nowMs()
  const crossing = zoneCrossing(context, { runtime, kind }, bodyBytes, 0)
  const plan = (canProbe: boolean): Placement => planPlacement(table.routing(nowMs), createPlacementRequest(
    context, { kind, arrivedMs: nowMs, deadlineMs: nowMs + kind.deadlineMs, allowedZones }, 'first',
    { probed: new Set(), canProbe: () => canProbe, exclude: new Set(), bodyBytes, crossing }
  ), nowMs, context.random)
  const first = plan(true)
  return first.step === 'probe'
    ? { probesFirst: first.targetIds, decision: describePlacement(plan(false)) }
    : { probesFirst: [], decision: describePlacement(first) }
}

const describeSelection = (selection: Selection): PreviewDecision => {
  if (selection.ok) return { outcome: 'send', targetId: selection.targetId, reason: selection.reason }
  switch (selection.error) {
    case 'all-busy': return { outcome: 'wait', reason: 'each usable target is at its limit of concurrent requests' }
    case 'no-target': return { outcome: 'none', reason: 'no target is usable' }
    case 'rate-limited': return { outcome: 'refuse', reason: selection.detail, retryAfterMs: Math.round(selection.retryAfterMs) }
    case 'paused': return { outcome: 'refuse', reason: 'all usable targets asked to be left alone', retryAfterMs: Math.round(selection.retryAfterMs) }
  }
}

const previewSelection = (context: PreviewContext, { table }: ServiceRuntime, { kind, allowedZones }: Destination): Pick<ServicePreview, 'probesFirst' | 'decision'> => {
  const request = { zone: context.zone, exclude: new Set<string>(), idempotent: kind.idempotent, allowedZones }
  const selection = selectTarget(context.policy as PolicyName, table, request, context.clock.nowMs(), context.random)
  return { probesFirst: [], decision: describeSelection(selection) }
}

const previewService = (context: PreviewContext, destination: Destination, bodyBytes: number): ServicePreview | undefined => {
  const { service, kind, share } = destination
  const runtime = context.runtimes.get(service.name)
  if (!runtime) return undefined
  const { probesFirst, decision } = context.probesBeforeAttempt && runtime.table.supportsLoadProbes()
    ? previewPlacement(context, runtime, destination, bodyBytes)
    : previewSelection(context, runtime, destination)
  const targets: TargetStatus[] = runtime.table.snapshot(context.clock.nowMs())
  const { objectiveMs = kind.deadlineMs, deadlineMs, idempotent, weight } = kind
  return { service: service.name, kind: kind.name, share, idempotent, weight, objectiveMs, deadlineMs, probesFirst, decision, targets }
}

export const previewRequest = (context: PreviewContext, { method, host, path, bodyBytes = 0 }: PreviewQuery): RequestPreview => {
  const index = context.runtimes.index()
  const destinations = index?.destinations({ method, path, host }) ?? []
  return {
    nodeId: context.nodeId,
    zone: context.zone,
    isConfigured: index !== undefined,
    services: destinations.flatMap(destination => previewService(context, destination, bodyBytes) ?? [])
  }
}
