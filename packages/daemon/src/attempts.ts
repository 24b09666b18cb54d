/**
 * Attempts of an exchange: selects a target, acquires a connection, sends the
 * request, and decides on a retry, a hedge or a failure when an attempt ends.
 */
import { selectTarget, splitRetryAllowance, type AttemptFailure } from '@wisteriavalve/policy'
import type { ResultName, Target } from '@wisteriavalve/schema'
import { sendRequest, type SendFailure, type SendHandler } from './adapters/backend-http.js'
import { failConsumedBody, failWithoutAttempt, refuseSuspect, RETRY_AFTER_REFUSAL_MS } from './attempt-refusals.js'
import { canWrite, controlHeaders, isTargetClosed } from './attempt-writes.js'
import type { BackendConnection } from './backend-connections.js'
import { relayDestination, targetDestination, type Destination } from './destination.js'
import { abandonAttempt, attemptsLeft, isWritten, type Attempt, type Exchange } from './exchange.js'
import type { AttemptPurpose, PipelineContext } from './pipeline-context.js'
import { permitWaitMaxMs, place, type PlacementOutcome } from './placement.js'
import { EARLY_RESPONSE_MARGIN_MS, LEAVING_RETRY_AFTER_MS } from './constants.js'
import { scheduleHedge } from './hedging.js'
import { failWithoutTarget } from './missing-targets.js'
import { cannotReachTargets, CUT_OFF_RETRY_AFTER_MS, delegateAttempts, isCutOff, isRelayed, reclaimAttempts, selectRelayPeer, tryTargetAgain } from './relaying.js'
import { excludedTargets, isTaken, reserveTarget } from './suspect-isolation.js'
import { withPermits } from './warmup-permits.js'
import { tryTakeRetry, tryTakeRetryAfterStatus } from './retrying.js'
import { dropData, endResponse, onResponseHead, relayData } from './response-relay.js'
import { failExchange, isolateErrors, onDeadline } from './completion.js'
import { countBodyBytes, countResponseBytes, countWrittenAttempt } from './zone-traffic.js'

/** Maximum number of further connections per attempt after one was lost before the write. */
const REACQUIRE_MAX = 2

/** Waits until another request of the service ends. The deadline still applies. */
const waitForTarget = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, lastResult: ResultName | undefined): void => {
  exchange.targetWaiter = () => {
    if (exchange.phase === 'running') isolateErrors(context, exchange, () => startAttempt(context, exchange, purpose, lastResult))
  }
  exchange.runtime.targetWaiters.add(exchange.targetWaiter)
}

const takeForwardedAllowance = (exchange: Exchange): number => {
  const { forwarded, retained } = splitRetryAllowance(exchange.retryAllowance)
  exchange.retryAllowance = retained
  return forwarded
}

export const startAttempt = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, lastResult?: ResultName): void => {
  if (context.crashWatch.isRefused(exchange, purpose)) {
    refuseSuspect(context, exchange)
    return
  }
  if (!exchange.body.canOpen()) {
    failConsumedBody(context, exchange, lastResult)
    return
  }
  if (!canAttempt(exchange)) {
    failWithoutAttempt(context, exchange, lastResult)
    return
  }
  if (purpose === 'first' && context.isTooLateToSend()) {
    failExchange(context, exchange, exchange.unknownResult ?? 'node-leaving', { retryAfterMs: LEAVING_RETRY_AFTER_MS })
    return
  }
  if (purpose !== 'hedge' && handleWithoutTargets(context, exchange, purpose, lastResult)) return
  if (context.probesBeforeAttempt && exchange.runtime.table.supportsLoadProbes()) place(context, exchange, purpose, outcome => onPlaced(context, exchange, purpose, lastResult, outcome))
  else selectAndStart(context, exchange, purpose, lastResult)
}

/**
 * Relays the request if no target answers this node, or refuses one that was
 * already relayed. Without a usable peer it is handled as usual.
 * @returns whether the request was handled
 */
const handleWithoutTargets = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, lastResult: ResultName | undefined): boolean => {
  const peer = selectRelayPeer(context, exchange, lastResult)
  if (peer || isCutOff(context)) tryTargetAgain(context, exchange)
  if (peer) {
    exchange.relayCount++
    startAt(context, exchange, { ...relayDestination(context, peer), purpose }, lastResult)
    return true
  }
  if (!isRelayed(exchange.call) || !cannotReachTargets(context, exchange, lastResult)) return false
  failExchange(context, exchange, exchange.unknownResult ?? 'targets-unreachable', { retryAfterMs: CUT_OFF_RETRY_AFTER_MS })
  return true
}

const canAttempt = (exchange: Exchange): boolean => attemptsLeft(exchange) >= 1

const REFUSAL_RESULTS = { late: 'deadline-unreachable', 'rate-limited': 'target-rate-limited', paused: 'targets-paused' } as const

/**
 * Placement is asynchronous, so a retry and a hedge can be placed at the same
 * time. If only one more attempt is allowed, the one placed last is dropped.
 */
const onPlaced = (
  context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, lastResult: ResultName | undefined, outcome: PlacementOutcome
): void => {
  if (!canAttempt(exchange)) {
    failWithoutAttempt(context, exchange, lastResult)
    return
  }
  const target = outcome.step === 'send' ? exchange.runtime.table.target(outcome.targetId) : undefined
  if (outcome.step === 'send' && target) startPermitted(context, exchange, purpose, target, outcome, lastResult)
  else if (purpose === 'hedge') exchange.isHedged = true
  else if (outcome.step === 'refuse') failExchange(context, exchange, exchange.unknownResult ?? lastResult ?? REFUSAL_RESULTS[outcome.cause], { retryAfterMs: outcome.retryAfterMs, detail: outcome.detail })
  else failWithoutTarget(context, exchange, lastResult)
}

const selectAndStart = (context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, lastResult?: ResultName): void => {
  const { runtime, kind } = exchange
  const nowMs = context.clock.nowMs()
  const selection = selectTarget(context.policy, runtime.table, {
    zone: context.zone,
    exclude: excludedTargets(context, exchange),
    idempotent: kind.idempotent,
    allowedZones: exchange.allowedZones,
    permitWaitMaxMs: purpose === 'hedge' ? 0 : permitWaitMaxMs(context, exchange),
    excludesCold: purpose === 'hedge'
  }, nowMs, context.random)
  const target = selection.ok ? runtime.table.target(selection.targetId) : undefined
  if (selection.ok && target) {
    startPermitted(context, exchange, purpose, target, selection, lastResult)
    return
  }
  if (purpose === 'hedge') return
  if (!selection.ok && selection.error === 'all-busy') waitForTarget(context, exchange, purpose, lastResult)
  else if (!selection.ok && selection.error === 'paused') failExchange(context, exchange, exchange.unknownResult ?? lastResult ?? 'targets-paused', { retryAfterMs: selection.retryAfterMs })
  else if (!selection.ok && selection.error === 'rate-limited') failExchange(context, exchange, exchange.unknownResult ?? lastResult ?? 'target-rate-limited', { retryAfterMs: selection.retryAfterMs, detail: selection.detail })
  else failWithoutTarget(context, exchange, lastResult)
}

/** Starts the attempt, after a permit for it if the target has a request limit or may be cold. Without a permit another target is chosen. */
const startPermitted = (
  context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, target: Target,
  { reason, permitWaitMaxMs: waitMaxMs }: { reason: string, permitWaitMaxMs: number }, lastResult: ResultName | undefined
): void => withPermits(context, exchange, purpose, target.id, waitMaxMs, {
  onPermitted: permits => {
    if (exchange.responder) return
    if (isTaken(context, exchange, target.id)) startAttempt(context, exchange, purpose, lastResult)
    else if (canAttempt(exchange)) startAt(context, exchange, { ...targetDestination(context, exchange, target), purpose, reason, ...permits }, lastResult)
    else failWithoutAttempt(context, exchange, lastResult)
  },
  onDenied: () => {
    if (purpose === 'hedge') exchange.isHedged = true
    else startAttempt(context, exchange, purpose, lastResult)
  }
})

const startAt = (context: PipelineContext, exchange: Exchange, destination: Destination, lastResult: ResultName | undefined): void => {
  const { targetId, purpose } = destination
  const nowMs = context.clock.nowMs()
  const attempt: Attempt = {
    ...destination,
    exchange,
    pauseEpoch: context.pauseDetector.epoch(nowMs),
    startedMs: nowMs,
    writtenMs: undefined,
    delegatedCount: 0,
    waiter: undefined,
    connection: undefined,
    outgoingRequest: undefined,
    isFinished: false,
    isDropped: false,
    droppedBytes: 0,
    status: 0,
    responseBytes: 0,
    forwardedAllowance: takeForwardedAllowance(exchange),
    reacquireCount: 0,
    releaseTarget: undefined
  }
  exchange.triedTargetIds.add(targetId)
  exchange.attempts.push(attempt)
  exchange.attemptCount++
  attempt.releaseTarget = reserveTarget(context, attempt)
  attempt.table.recordStart(targetId, nowMs)
  context.recorder.routed(attempt, purpose, lastResult)
  acquire(context, attempt)
}

const acquire = (context: PipelineContext, attempt: Attempt): void => {
  attempt.waiter = {
    idempotent: attempt.exchange.kind.idempotent,
    requestId: attempt.exchange.id,
    verifiedSinceMs: attempt.exchange.firstWrittenMs,
    use: connection => {
      attempt.waiter = undefined
      isolateErrors(context, attempt.exchange, () => send(context, attempt, connection))
    },
    fail: message => {
      attempt.waiter = undefined
      isolateErrors(context, attempt.exchange, () => onAttemptFailed(context, attempt, 'connect-failed', 'connect-failed', message))
    }
  }
  attempt.pool.acquire(attempt.waiter)
}

const send = (context: PipelineContext, attempt: Attempt, connection: BackendConnection): void => {
  const { exchange } = attempt
  attempt.connection = connection
  const opened = exchange.body.open()
  if (!opened.ok) {
    abandonAttempt(attempt, 'cancelled', context.clock.nowMs())
    failConsumedBody(context, exchange, undefined)
    return
  }
  connection.onSilent = () => isolateErrors(context, exchange, () => onSilent(context, attempt))
  connection.isWaitingForCaller = () => exchange.body.isWaitingForCaller() || attempt.writer?.isBlocked() === true
  attempt.outgoingRequest = sendRequest(connection, {
    method: exchange.method,
    path: exchange.path,
    headers: exchange.headers.concat(controlHeaders(context, attempt, context.clock.nowMs())),
    body: opened.content,
    allowsEndByClose: context.dialect.allowsEndByClose,
    earlyResponseMsMax: exchange.deadlineMs - context.clock.nowMs() - EARLY_RESPONSE_MARGIN_MS
  }, createSendHandler(context, attempt))
}

const createSendHandler = (context: PipelineContext, attempt: Attempt): SendHandler => {
  const { exchange } = attempt
  const bodySend = { targetId: attempt.targetId, sentBytes: 0 }
  const recordProgress = (): number => {
    const nowMs = context.clock.nowMs()
    exchange.lastProgressMs = nowMs
    if (attempt.connection) attempt.connection.lastProgressMs = nowMs
    return nowMs
  }
  return {
    canWrite: () => canWrite(context, attempt),
    onWritten: () => {
      const nowMs = context.clock.nowMs()
      attempt.writtenMs = nowMs
      if (exchange.body.isPresent) exchange.bodySends.push(bodySend)
      if (attempt.isRelay) delegateAttempts(attempt)
      else exchange.sendCount++
      exchange.firstWrittenMs ??= nowMs
      if (attempt.connection) attempt.connection.sentMs = nowMs
      context.recorder.written(attempt)
      countWrittenAttempt(context, attempt)
      scheduleHedge(context, attempt, nowMs, {
        startHedge: () => startAttempt(context, exchange, 'hedge'),
        onStalled: () => onSilent(context, attempt)
      })
    },
    onBodyProgress: sentBytes => {
      bodySend.sentBytes += sentBytes
      countBodyBytes(context, attempt, sentBytes)
      recordProgress()
    },
    onHead: (status, headers, statusText) => isolateErrors(context, exchange, () => {
      const head = { status, headers, statusText, atMs: recordProgress() }
      const step = onResponseHead(context, attempt, head, {
        tryTakeRetryAfterStatus: () => tryTakeRetryAfterStatus(context, attempt),
        onRefused: message => onAttemptFailed(context, attempt, 'reset', 'answer-broken', message)
      })
      if (step.step === 'failed') onAttemptFailed(context, attempt, 'reset', 'answer-broken', step.message)
      else if (step.step === 'refused' && attempt.isRelay) {
        reclaimAttempts(attempt)
        startAttempt(context, exchange, attempt.purpose, exchange.connectFailureCount > 0 ? 'connect-failed' : undefined)
      } else if (step.step === 'refused') retryOrFail(context, exchange, 'refused', 'backend-refused')
      else if (step.step === 'retry') startAttempt(context, exchange, 'retry', 'answer-broken')
    }),
    onData: chunk => {
      recordProgress()
      countResponseBytes(context, attempt, chunk.length)
      return attempt.isDropped ? dropData(attempt, chunk) : relayData(attempt, chunk)
    },
    onEnd: trailers => isolateErrors(context, exchange, () => endResponse(context, attempt, trailers)),
    onFailure: failure => isolateErrors(context, exchange, () => onSendFailure(context, attempt, failure))
  }
}

const SEND_FAILURES: Record<Exclude<SendFailure['kind'], 'not-sent'>, ResultName> = {
  'request-invalid': 'request-malformed',
  'second-start': 'resend-prevented',
  lost: 'connection-lost',
  broken: 'answer-broken'
}

const onSendFailure = (context: PipelineContext, attempt: Attempt, failure: SendFailure): void => {
  if (attempt.isFinished) {
    if (attempt.connection) attempt.pool.discard(attempt.connection)
    return
  }
  if (failure.kind === 'not-sent') onNotSent(context, attempt, failure.message)
  else if (failure.kind === 'request-invalid') failExchange(context, attempt.exchange, 'request-malformed', { detail: failure.message })
  else onAttemptFailed(context, attempt, 'reset', SEND_FAILURES[failure.kind], failure.message)
}

/**
 * Nothing was written, so the attempt takes another connection, or another
 * target if the earlier selection is no longer valid.
 */
const onNotSent = (context: PipelineContext, attempt: Attempt, message: string): void => {
  const { exchange } = attempt
  const nowMs = context.clock.nowMs()
  if (attempt.connection) attempt.pool.discard(attempt.connection)
  attempt.connection = undefined
  attempt.outgoingRequest = undefined
  const isPaused = context.pauseDetector.epoch(nowMs) !== attempt.pauseEpoch
  if (context.crashWatch.isRefused(exchange, attempt.purpose)) {
    abandonAttempt(attempt, 'cancelled', nowMs)
    refuseSuspect(context, exchange)
  } else if (nowMs >= exchange.deadlineMs) onDeadline(context, exchange)
  else if (!exchange.body.canOpen()) failExchange(context, exchange, exchange.unknownResult ?? (isPaused ? 'process-paused' : 'connect-failed'), { detail: message })
  else if (isPaused || isTargetClosed(attempt, nowMs)) reroute(context, attempt, nowMs)
  else if (attempt.reacquireCount++ < REACQUIRE_MAX) acquire(context, attempt)
  else onAttemptFailed(context, attempt, 'connect-failed', 'connect-failed', message)
}

/** Chooses again for an attempt that wrote nothing. A hedge is dropped instead, since the attempt that it was to help is still running. */
const reroute = (context: PipelineContext, attempt: Attempt, nowMs: number): void => {
  const { exchange, purpose } = attempt
  abandonAttempt(attempt, 'cancelled', nowMs)
  exchange.triedTargetIds.delete(attempt.targetId)
  exchange.attemptCount--
  exchange.retryAllowance += attempt.forwardedAllowance
  if (exchange.attempts.length === 0) startAttempt(context, exchange, purpose === 'hedge' ? 'retry' : purpose)
}

const onAttemptFailed = (context: PipelineContext, attempt: Attempt, failure: AttemptFailure, result: ResultName, detail: string): void => {
  const { exchange } = attempt
  const nowMs = context.clock.nowMs()
  if (!attempt.isRelay && exchange.responder !== attempt) context.relaying.responses.recordFailure(attempt.targetId, nowMs)
  if (!attempt.isRelay && failure === 'connect-failed') exchange.connectFailureCount++
  if (failure === 'reset' && isWritten(attempt) && !attempt.isRelay) {
    exchange.hasLostTarget = true
    context.crashWatch.recordLost(attempt)
  }
  // A response of which its caller has nothing can be replaced.
  if (exchange.responder === attempt && attempt.writer?.isWaiting()) exchange.responder = undefined
  abandonAttempt(attempt, failure, nowMs)
  if (exchange.phase === 'settled') return
  if (isWritten(attempt)) exchange.unknownResult ??= result
  else exchange.retryAllowance += attempt.forwardedAllowance
  if (exchange.responder === attempt) {
    failExchange(context, exchange, result, { detail })
    return
  }
  if (exchange.attempts.length > 0) return
  if (attempt.isRelay && (!isWritten(attempt) || exchange.kind.idempotent)) startAttempt(context, exchange, attempt.purpose, result)
  else retryOrFail(context, exchange, failure, result, detail)
}

const retryOrFail = (context: PipelineContext, exchange: Exchange, failure: AttemptFailure, result: ResultName, detail?: string): void => {
  if (failure === 'connect-failed' && handleWithoutTargets(context, exchange, 'retry', result)) return
  if (tryTakeRetry(context, exchange, failure)) startAttempt(context, exchange, 'retry', result)
  else {
    exchange.runtime.scarcity?.recordTaken(exchange.kind.weight, context.clock.nowMs())
    failExchange(context, exchange, exchange.unknownResult ?? result, { detail, retryAfterMs: RETRY_AFTER_REFUSAL_MS })
  }
}

/**
 * Retries the request of a silent connection on another target. Without a
 * retry, the request keeps the connection until its deadline.
 */
const onSilent = (context: PipelineContext, attempt: Attempt): void => {
  const { exchange } = attempt
  if (exchange.phase === 'settled' || attempt.isFinished || exchange.responder || exchange.attempts.length > 1) return
  if (!tryTakeRetry(context, exchange, 'no-progress')) return
  abandonAttempt(attempt, 'no-progress', context.clock.nowMs())
  exchange.unknownResult ??= 'no-progress'
  startAttempt(context, exchange, 'retry', 'no-progress')
}
