/**
 * What an attempt writes to its target, and whether it may still be written.
 */
import type { Attempt, Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'
import { relayHeaders } from './relaying.js'
import { isPermitMissing } from './target-permits.js'
import { isWarmupPermitMissing } from './warmup-permits.js'

const isDeadlineBounded = ({ deadlineMs }: Exchange): boolean => deadlineMs !== Infinity

/** Headers that differ from attempt to attempt. */
export const controlHeaders = ({ dialect, relaying }: PipelineContext, { exchange, forwardedAllowance, targetId, isRelay }: Attempt, nowMs: number): string[] => {
  const headers: string[] = []
  if (dialect.retryAllowanceHeader !== undefined) headers.push(dialect.retryAllowanceHeader, String(forwardedAllowance))
  if (dialect.callDepthHeader !== undefined) headers.push(dialect.callDepthHeader, String(isRelay ? exchange.callDepth : exchange.callDepth + 1))
  if (isRelay) headers.push(...relayHeaders(relaying, exchange))
  if (!isRelay && dialect.targetIdHeader !== undefined) headers.push(dialect.targetIdHeader, targetId)
  if (isDeadlineBounded(exchange)) headers.push(dialect.timeoutHeader, String(Math.max(1, Math.floor(exchange.deadlineMs - nowMs))))
  return headers
}

/** Whether it was learned since the target was chosen that it does not want this request, or may not get it without a permit, or that its zone was evacuated. */
export const isTargetClosed = (attempt: Attempt, nowMs: number): boolean =>
  attempt.exchange.runtime.draining.has(attempt.targetId) || attempt.table.isPaused(attempt.targetId, nowMs) || isPermitMissing(attempt) ||
  attempt.table.isEvacuated(attempt.targetId) || isWarmupPermitMissing(attempt, nowMs)

/** The only check before the first byte of the request is written. */
export const canWrite = (context: PipelineContext, attempt: Attempt): boolean => {
  const { exchange } = attempt
  const nowMs = context.clock.nowMs()
  return context.pauseDetector.epoch(nowMs) === attempt.pauseEpoch && !attempt.isFinished && exchange.phase === 'running' &&
    nowMs < exchange.deadlineMs && !isTargetClosed(attempt, nowMs) && !context.crashWatch.isRefused(exchange, attempt.purpose)
}
