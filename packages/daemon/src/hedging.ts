/**
 * Second attempts of a request that gets no response: a hedge at another target,
 * or a retry in place of an attempt whose connection may be silent.
 */
import { objectiveHedgeDelayMs, planHedge, silenceLimitMs } from '@wisteriavalve/policy'
import type { Attempt } from './exchange.js'
import { isolateErrors } from './completion.js'
import type { PipelineContext } from './pipeline-context.js'
import { OBJECTIVE_SHARE } from './placement.js'
import { isSuspect } from './suspect-isolation.js'

export type HedgeActions = {
  startHedge: () => void
  /** The attempt got no response for so long that its connection may be silent. */
  onStalled: () => void
}

/**
 * Hedge delay from the objective if the usual processing time is known,
 * otherwise from the slowest responses of the service.
 */
const hedgeDelayMs = (context: PipelineContext, { exchange, writtenMs }: Attempt): number | undefined => {
  const { kind, runtime, arrivedMs } = exchange
  const usualMs = runtime.table.hedgeDelayMs()
  if (!context.probesBeforeAttempt || kind.objectiveMs === undefined || writtenMs === undefined) return usualMs
  const serviceTimeMs = context.serviceTimes.usualMs(kind.name, kind.objectiveMs)
  return objectiveHedgeDelayMs(arrivedMs + OBJECTIVE_SHARE * kind.objectiveMs - writtenMs, serviceTimeMs) ?? usualMs
}

/** Call when the request of an attempt was written. */
export const scheduleHedge = (context: PipelineContext, attempt: Attempt, nowMs: number, actions: HedgeActions): void => {
  const { exchange, isRelay } = attempt
  const { kind, runtime, responder } = exchange
  // A peer hedges by itself.
  if (isRelay || !kind.idempotent || exchange.isHedged || exchange.attempts.length !== 1 || responder) return
  // A suspect goes to one target at a time.
  if (isSuspect(context, exchange)) return
  if (exchange.sendCount >= exchange.attemptsMax) return
  const decision = planHedge({
    idempotent: true,
    isBodyReplayable: exchange.body.canOpen(),
    hasFirstByte: false,
    isHedged: false,
    startedMs: attempt.writtenMs ?? nowMs,
    deadlineMs: exchange.deadlineMs,
    allowance: exchange.retryAllowance
  }, hedgeDelayMs(context, attempt), runtime.retryBudget, nowMs)
  if (decision.decision === 'wait') {
    exchange.hedgeTimer = context.wheel.schedule(decision.untilMs, () => isolateErrors(context, exchange, () => {
      exchange.hedgeTimer = undefined
      if (!attempt.isFinished && exchange.phase === 'running') scheduleHedge(context, attempt, context.clock.nowMs(), actions)
    }))
  } else if (decision.decision === 'hedge') {
    exchange.isHedged = true
    exchange.retryAllowance -= 1
    actions.startHedge()
  } else {
    scheduleStallCheck(context, attempt, actions)
  }
}

/**
 * Share of the remaining time after which an attempt without a response byte
 * is retried on another target.
 */
const STALL_SHARE = 0.5

/**
 * Checks an attempt without a hedge for a silent connection. Such a connection
 * can stay undetected, because routing avoids its target and so no newer
 * connection answers there. The attempt is abandoned while there is still time
 * for another one, within the retry budget.
 */
const scheduleStallCheck = (context: PipelineContext, attempt: Attempt, { onStalled }: HedgeActions): void => {
  const { exchange, writtenMs, table, targetId } = attempt
  if (writtenMs === undefined || exchange.hedgeTimer || exchange.deadlineMs === Infinity) return
  const limitMs = Math.max(silenceLimitMs(table.firstByteP99Ms(targetId)), STALL_SHARE * (exchange.deadlineMs - writtenMs))
  if (writtenMs + limitMs >= exchange.deadlineMs) return
  exchange.hedgeTimer = context.wheel.schedule(writtenMs + limitMs, () => isolateErrors(context, exchange, () => {
    if (!attempt.connection?.isWaitingForCaller?.()) onStalled()
  }))
}
