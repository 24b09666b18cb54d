/**
 * Ends of an exchange: a complete response, a failure, a caller that left, a
 * deadline. Each exchange takes exactly one of them, and only once.
 */
import type { AttemptOutcome } from '@wisteriavalve/policy'
import type { ResultName } from '@wisteriavalve/schema'
import { answerFailure } from './adapters/caller-http.js'
import { LINGER_MS } from './constants.js'
import { abandonAttempt, finishAttempt, isWritten, type Attempt, type Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'
import { unblock } from './service-runtimes.js'

export type FailureDetail = {
  retryAfterMs?: number
  detail?: string
  /** What the end says about the targets of attempts that are still running. */
  outcome?: AttemptOutcome
}

const cancelTimers = ({ wheel }: PipelineContext, { expiry, progressCheck, hedgeCheck, placementCheck }: Exchange): void => {
  if (expiry) wheel.cancel(expiry)
  if (progressCheck) wheel.cancel(progressCheck)
  if (hedgeCheck) wheel.cancel(hedgeCheck)
  if (placementCheck) wheel.cancel(placementCheck)
}

/** Takes the exchange out of all queues and takes back its attempts; returns whether it held a place in admission. */
const detach = (context: PipelineContext, exchange: Exchange, outcome: AttemptOutcome): boolean => {
  const { runtime, phase, queueId } = exchange
  exchange.phase = 'settled'
  cancelTimers(context, exchange)
  if (phase === 'queued') runtime.admission.cancel(queueId)
  if (exchange.retryBlocked) runtime.blocked.delete(exchange.retryBlocked)
  if (exchange.attempts.length > 0) {
    const nowMs = context.clock.nowMs()
    for (const attempt of [...exchange.attempts]) abandonAttempt(attempt, outcome, nowMs)
  }
  exchange.body.close()
  return phase === 'running'
}

const releasePlace = ({ clock }: PipelineContext, { runtime, admittedMs }: Exchange): void => {
  const nowMs = clock.nowMs()
  runtime.admission.release(nowMs - admittedMs, nowMs)
  unblock(runtime)
}

export const failExchange = (context: PipelineContext, exchange: Exchange, result: ResultName, { retryAfterMs, detail, outcome = 'cancelled' }: FailureDetail = {}): void => {
  if (exchange.phase === 'settled') return
  const targetId = (exchange.responder ?? exchange.attempts[0])?.targetId ?? [...exchange.tried].at(-1)
  const hasPlace = detach(context, exchange, outcome)
  try {
    if (context.isLeaving() && exchange.call.isLatest()) exchange.call.closeAfter()
    answerFailure(exchange.call, result, { requestId: exchange.id, retryAfterMs })
    context.recorder.failed(exchange, result, targetId, { detail, retryAfterMs })
  } finally {
    if (hasPlace) releasePlace(context, exchange)
  }
}

/** Stops a caller that goes on to send after it has its whole answer. */
const boundRestOfUpload = ({ wheel, clock }: PipelineContext, { call: { req } }: Exchange): void => {
  if (req.complete) return
  req.resume()
  wheel.schedule(clock.nowMs() + LINGER_MS, () => { if (!req.complete) req.socket.destroy() })
}

export const completeExchange = (context: PipelineContext, attempt: Attempt): void => {
  const { exchange } = attempt
  const nowMs = context.clock.nowMs()
  finishAttempt(attempt, attempt.status >= 500 ? 'error-status' : 'ok', nowMs)
  const hasPlace = detach(context, exchange, 'cancelled')
  try {
    boundRestOfUpload(context, exchange)
    context.recorder.answered(exchange, attempt, nowMs)
  } finally {
    if (hasPlace) releasePlace(context, exchange)
  }
}

/** Result of an exchange that ends now for a reason outside of its attempts. */
const resultByProgress = (exchange: Exchange, notRun: ResultName, unknown: ResultName): ResultName => {
  const mayHaveRun = exchange.unknownResult !== undefined || exchange.attempts.some(isWritten)
  return mayHaveRun ? unknown : notRun
}

/** Runs a step of a request; an unexpected error ends this request and nothing else. */
export const contain = (context: PipelineContext, exchange: Exchange, step: () => void): void => {
  try {
    step()
  } catch (error) {
    context.recorder.fault(error, exchange.id)
    endAfterFault(context, exchange)
  }
}

const endAfterFault = (context: PipelineContext, exchange: Exchange): void => {
  try {
    failExchange(context, exchange, resultByProgress(exchange, 'node-fault', 'node-fault-after-send'))
  } catch (error) {
    context.recorder.fault(error, exchange.id)
  }
}

export const onCallerGone = (context: PipelineContext, exchange: Exchange): void => {
  if (exchange.phase === 'settled') return
  const unknown = exchange.body.isComplete() ? 'caller-cancelled' : 'caller-body-broken'
  failExchange(context, exchange, resultByProgress(exchange, 'caller-gone', unknown))
}

export const onDeadline = (context: PipelineContext, exchange: Exchange): void => {
  const notRun = exchange.phase === 'collecting' ? 'caller-too-slow' : 'deadline-passed-in-queue'
  const isHeld = exchange.attempts.some(attempt => attempt.connection?.isHeldByCaller?.())
  failExchange(context, exchange, resultByProgress(exchange, notRun, 'deadline-exceeded'), { outcome: isHeld ? 'cancelled' : 'timeout' })
}

export const onBodyTooLarge = (context: PipelineContext, exchange: Exchange): void =>
  failExchange(context, exchange, resultByProgress(exchange, 'body-too-large', 'body-grew-too-large'))

export const onNoProgress = (context: PipelineContext, exchange: Exchange): void => {
  const isHeld = exchange.attempts.some(attempt => attempt.connection?.isHeldByCaller?.())
  const notRun = exchange.phase === 'collecting' || isHeld ? 'caller-too-slow' : 'deadline-passed-in-queue'
  failExchange(context, exchange, resultByProgress(exchange, notRun, 'no-progress'), { outcome: isHeld ? 'cancelled' : 'no-progress' })
}
