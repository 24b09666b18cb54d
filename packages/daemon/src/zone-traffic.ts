/**
 * Traffic between availability zones on the request path: what it would cost a
 * request to leave the zone of this node, and how much has left.
 */
import type { ZoneCrossing } from '@wisteriavalve/policy'
import type { Attempt, Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'

/** @returns undefined if requests may leave the zone without a limit */
export const zoneCrossing = (
  { crossZoneMsPerKb, roundTrips }: Pick<PipelineContext, 'crossZoneMsPerKb' | 'roundTrips'>,
  { runtime, kind }: Pick<Exchange, 'runtime' | 'kind'>, bodyBytes: number, waitedMs: number
): ZoneCrossing | undefined => {
  if (crossZoneMsPerKb === undefined) return undefined
  return {
    bytes: bodyBytes + runtime.responseSizes.usualBytes(kind.name),
    msPerKb: crossZoneMsPerKb,
    waitedMs,
    roundTripMs: roundTrips.usualMs,
    mayLeave: runtime.overflow.mayLeave
  }
}

/** Whether an attempt goes to a target, or to a peer that relays it, in another zone. */
const crossesZone = ({ zone }: PipelineContext, { table, targetId }: Attempt): boolean => (table.target(targetId)?.zone ?? zone) !== zone

export const countWrittenAttempt = (context: PipelineContext, attempt: Attempt): void => {
  if (crossesZone(context, attempt)) attempt.exchange.runtime.crossZone.requests++
}

export const countBodyBytes = (context: PipelineContext, attempt: Attempt, sizeBytes: number): void => {
  if (crossesZone(context, attempt)) attempt.exchange.runtime.crossZone.bytes += sizeBytes
}

export const countResponseBytes = (context: PipelineContext, attempt: Attempt, sizeBytes: number): void => {
  attempt.responseBytes += sizeBytes
  countBodyBytes(context, attempt, sizeBytes)
}

/** Learns the usual size of a kind. An error page says nothing about it. */
export const recordResponseSize = ({ exchange, isRelay, status, responseBytes }: Attempt): void => {
  if (!isRelay && status < 400) exchange.runtime.responseSizes.record(exchange.kind.name, responseBytes)
}
