/**
 * Completes an exchange: with a response, a failure, a closed caller
 * connection or an expired deadline. Each exchange is completed exactly once.
 */
import type { AttemptOutcome } from '@wisteriavalve/policy'
import type { ResultName } from '@wisteriavalve/schema'
import { sendFailureResponse } from './adapters/caller-http.js'
import { LINGER_MS } from './constants.js'
import { abandonAttempt, finishAttempt, isWritten, type Attempt, type Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'
import { retryTargetWaiters } from './service-runtimes.js'
import { recordResponseSize } from './zone-traffic.js'

export type FailureDetail = {
  retryAfterMs?: number
  detail?: string
  /** Outcome to record for the targets of attempts that are still running. */
  outcome?: AttemptOutcome
}

const cancelTimers = ({ wheel }: PipelineContext, { deadlineTimer, progressTimer, hedgeTimer, placementTimer }: Exchange): void => {
  if (deadlineTimer) wheel.cancel(deadlineTimer)
  if (progressTimer) wheel.cancel(progressTimer)
  if (hedgeTimer) wheel.cancel(hedgeTimer)
  if (placementTimer) wheel.cancel(placementTimer)
}

/** Removes the exchange from all queues and abandons its attempts; returns whether it was admitted. */
const detach = (context: PipelineContext, exchange: Exchange, outcome: AttemptOutcome): boolean => {
  const { runtime, phase, queueId } = exchange
  exchange.phase = 'settled'
  cancelTimers(context, exchange)
  if (phase === 'queued') runtime.admission.cancel(queueId)
  exchange.search?.end()
  if (exchange.targetWaiter) runtime.targetWaiters.delete(exchange.targetWaiter)
  if (exchange.attempts.length > 0) {
    const nowMs = context.clock.nowMs()
    for (const attempt of [...exchange.attempts]) abandonAttempt(attempt, outcome, nowMs)
  }
  exchange.body.close()
  return phase === 'running'
}

const releaseAdmission = ({ clock }: PipelineContext, { runtime, admittedMs }: Exchange): void => {
  const nowMs = clock.nowMs()
  runtime.admission.release(nowMs - admittedMs, nowMs)
  retryTargetWaiters(runtime)
}

export const failExchange = (context: PipelineContext, exchange: Exchange, result: ResultName, { retryAfterMs, detail, outcome = 'cancelled' }: FailureDetail = {}): void => {
  if (exchange.phase === 'settled') return
  const targetId = (exchange.responder ?? exchange.attempts[0])?.targetId ?? [...exchange.triedTargetIds].at(-1)
  const wasAdmitted = detach(context, exchange, outcome)
  try {
    if (context.isLeaving() && exchange.call.isLatest()) exchange.call.closeAfter()
    sendFailureResponse(exchange.call, result, { requestId: exchange.id, retryAfterMs })
    context.recorder.failed(exchange, result, targetId, { detail, retryAfterMs })
    context.crashWatch.recordFailed(exchange)
  } finally {
    if (wasAdmitted) releaseAdmission(context, exchange)
  }
}

/** Closes the connection of a caller that continues to send its body after the response is complete and was sent in its turn. */
const limitRemainingUpload = ({ wheel, clock }: PipelineContext, { call }: Exchange): void => {
  const { req } = call
  if (req.complete) return
  req.resume()
  call.onTurn(() => wheel.schedule(clock.nowMs() + LINGER_MS, () => { if (!req.complete) req.socket.destroy() }))
}

export const completeExchange = (context: PipelineContext, attempt: Attempt): void => {
  const { exchange } = attempt
  const nowMs = context.clock.nowMs()
  if (attempt.isRelay) context.crashWatch.recordFailed(exchange)
  else context.crashWatch.recordAnswered(exchange)
  exchange.isAnswered = !attempt.isRelay
  recordResponseSize(attempt)
  finishAttempt(attempt, attempt.status >= 500 ? 'error-status' : 'ok', nowMs)
  const wasAdmitted = detach(context, exchange, 'cancelled')
  try {
    limitRemainingUpload(context, exchange)
    context.recorder.answered(exchange, attempt, nowMs)
  } finally {
    if (wasAdmitted) releaseAdmission(context, exchange)
  }
}

export const mayHaveRun = (exchange: Exchange): boolean => exchange.unknownResult !== undefined || exchange.attempts.some(isWritten)

/** Selects the result of an exchange that is ended from outside its attempts, by whether it may have run. */
const chooseResult = (exchange: Exchange, notRun: ResultName, unknown: ResultName): ResultName => mayHaveRun(exchange) ? unknown : notRun

/** Runs a step of a request. An unexpected error fails only this request. */
export const isolateErrors = (context: PipelineContext, exchange: Exchange, step: () => void): void => {
  try {
    step()
  } catch (error) {
    context.recorder.internalError(error, exchange.id)
    failAfterError(context, exchange)
  }
}

/** Ends the connection of a request that counts as ended and has no complete response, so its caller does not wait for one. */
const endUnanswered = ({ call }: Exchange): void => { if (!call.res.writableEnded) call.breakOff() }

const failAfterError = (context: PipelineContext, exchange: Exchange): void => {
  try {
    if (exchange.phase === 'settled') endUnanswered(exchange)
    else failExchange(context, exchange, chooseResult(exchange, 'node-fault', 'node-fault-after-send'))
  } catch (error) {
    context.recorder.internalError(error, exchange.id)
  }
}

export const onCallerDisconnected = (context: PipelineContext, exchange: Exchange): void => {
  if (exchange.phase === 'settled') return
  const unknown = exchange.body.isComplete() ? 'caller-cancelled' : 'caller-body-broken'
  failExchange(context, exchange, chooseResult(exchange, 'caller-gone', unknown))
}

export const onDeadline = (context: PipelineContext, exchange: Exchange): void => {
  const notRun = exchange.phase === 'collecting' ? 'caller-too-slow' : 'deadline-passed-in-queue'
  const isWaitingForCaller = exchange.attempts.some(attempt => attempt.connection?.isWaitingForCaller?.())
  failExchange(context, exchange, chooseResult(exchange, notRun, 'deadline-exceeded'), { outcome: isWaitingForCaller ? 'cancelled' : 'timeout' })
}

export const onBodyTooLarge = (context: PipelineContext, exchange: Exchange): void =>
  failExchange(context, exchange, chooseResult(exchange, 'body-too-large', 'body-grew-too-large'))

export const onNoProgress = (context: PipelineContext, exchange: Exchange): void => {
  const isWaitingForCaller = exchange.attempts.some(attempt => attempt.connection?.isWaitingForCaller?.())
  const notRun = exchange.phase === 'collecting' || isWaitingForCaller ? 'caller-too-slow' : 'deadline-passed-in-queue'
  failExchange(context, exchange, chooseResult(exchange, notRun, 'no-progress'), { outcome: isWaitingForCaller ? 'cancelled' : 'no-progress' })
}
