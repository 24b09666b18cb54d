/**
 * Keeps suspects apart. Requests that lost their target at the same moment are
 * repeated at the same moment; if one of them has ended the target, it would end
 * the next one under the others too. Therefore a target gets one suspect of this
 * node at a time, while another target is left.
 */
import { isZoneAllowed } from '@wisteriavalve/policy'
import type { Attempt, Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'

/** Whether a target was lost under the request, at this node or at another one. */
export const isSuspect = ({ crashWatch }: PipelineContext, exchange: Exchange): boolean =>
  exchange.hasLostTarget || crashWatch.isSuspect(exchange)

/** Targets at which the request must not be tried: those where it was tried, and those that run another suspect. */
export const excludedTargets = (context: PipelineContext, exchange: Exchange): ReadonlySet<string> => {
  const { runtime: { suspectCounts, table }, triedTargetIds } = exchange
  if (suspectCounts.size === 0 || !isSuspect(context, exchange)) return triedTargetIds
  const excluded = new Set([...triedTargetIds, ...suspectCounts.keys()])
  const isAnyLeft = table.routing(context.clock.nowMs()).candidates.some(state => !excluded.has(state.target.id) && isZoneAllowed(state, exchange))
  return isAnyLeft ? excluded : triedTargetIds
}

/** Whether another suspect got the target since it was chosen. */
export const isTaken = (context: PipelineContext, exchange: Exchange, targetId: string): boolean =>
  !exchange.triedTargetIds.has(targetId) && excludedTargets(context, exchange).has(targetId)

/** Reserves the target of an attempt until its end if the request is a suspect. */
export const reserveTarget = (context: PipelineContext, { exchange, targetId, isRelay }: Attempt): (() => void) | undefined => {
  if (isRelay || !isSuspect(context, exchange)) return undefined
  const { suspectCounts } = exchange.runtime
  suspectCounts.set(targetId, (suspectCounts.get(targetId) ?? 0) + 1)
  return () => {
    const remaining = (suspectCounts.get(targetId) ?? 0) - 1
    if (remaining > 0) suspectCounts.set(targetId, remaining)
    else suspectCounts.delete(targetId)
  }
}
