/**
 * Takes the retry of a failed attempt from the budgets of the request and of its
 * service, if there is a target left for it.
 */
import { canTakeRetry, isZoneAllowed, planRetry, type AttemptFailure } from '@wisteriavalve/policy'
import type { Attempt, Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'

const hasOtherTarget = ({ runtime, triedTargetIds, allowedZones }: Exchange, failure: AttemptFailure, nowMs: number): boolean =>
  runtime.table.routing(nowMs).candidates.some(state => !triedTargetIds.has(state.target.id) && isZoneAllowed(state, { allowedZones }) && canTakeRetry(state, failure, nowMs))

/** @returns whether the request may be sent once more */
export const tryTakeRetry = (context: PipelineContext, exchange: Exchange, failure: AttemptFailure): boolean => {
  const nowMs = context.clock.nowMs()
  if (!hasOtherTarget(exchange, failure, nowMs)) return false
  const { decision } = planRetry({
    idempotent: exchange.kind.idempotent,
    isBodyReplayable: exchange.body.canOpen(),
    hasResponseStarted: exchange.responder !== undefined,
    deadlineMs: exchange.deadlineMs,
    attempts: exchange.attemptCount,
    sendCount: exchange.sendCount,
    sendCountMax: exchange.attemptsMax,
    allowance: exchange.retryAllowance
  }, failure, nowMs)
  if (decision !== 'retry') return false
  // Nothing was sent on a connection that failed to open, so this retry adds no load and is not counted in the budget.
  if (failure !== 'connect-failed' && !exchange.runtime.retryBudget.tryTake('retry', nowMs)) return false
  exchange.retryAllowance -= 1
  return true
}

/**
 * Takes a retry from the budget to replace a response with an error status;
 * returns whether one was available.
 */
export const tryTakeRetryAfterStatus = (context: PipelineContext, attempt: Attempt): boolean =>
  attempt.exchange.attempts.length === 1 && tryTakeRetry(context, attempt.exchange, 'error-status')
