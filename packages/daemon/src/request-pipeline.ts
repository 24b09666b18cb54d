/**
 * The request path: validation, admission, attempts, completion. See section 5
 * of docs/design.md.
 */
import { isZoneAllowed, type CallerLimits } from '@wisteriavalve/policy'
import type { ResultName } from '@wisteriavalve/schema'
import { sendFailureResponse, type Call } from './adapters/caller-http.js'
import { startAttempt } from './attempts.js'
import { LEAVING_RETRY_AFTER_MS } from './constants.js'
import type { Exchange } from './exchange.js'
import { isRequestId } from './headers.js'
import { failWithoutTarget } from './missing-targets.js'
import { validateCall, type CallValidation } from './request-validation.js'
import type { PipelineContext } from './pipeline-context.js'
import { createRequestBody } from './request-body.js'
import { headIdentity } from './request-identity.js'
import type { ServiceRuntime } from './service-runtimes.js'
import { isBehindRelay, isRelayed, readAttemptsMax } from './relaying.js'
import { createStartGate } from './start-gate.js'
import { failExchange, isolateErrors, mayHaveRun, onBodyTooLarge, onCallerDisconnected, onDeadline, onNoProgress } from './completion.js'

/** Time after which a starting node usually has a configuration. */
const NOT_READY_RETRY_AFTER_MS = 250

export type RequestPipeline = {
  handle: (call: Call) => void
  callerLimits: CallerLimits
  inFlightCount: () => number
  /** Refuses the requests that wait and were not passed on. */
  refuseUnsent: () => void
  /** To be called when a configuration was applied. */
  onConfigured: () => void
}

type Accepted = Extract<CallValidation, { ok: true }>

const forwardedHeaders = ({ dialect, headers: rules }: PipelineContext, { req, address }: Call, id: string): string[] => {
  const headers = rules.request(req.rawHeaders, req.headers.connection)
  headers.push(dialect.requestIdHeader, id)
  if (dialect.forwardedForHeader === undefined) return headers
  const forwardedFor = req.headers[dialect.forwardedForHeader]
  headers.push(dialect.forwardedForHeader, forwardedFor === undefined ? address : `${String(forwardedFor)}, ${address}`)
  return headers
}

const deadlineOf = ({ kind, control: { timeoutMs = Infinity } }: Accepted, nowMs: number): number =>
  nowMs + (kind.boundedBy === 'progress' ? timeoutMs : Math.min(timeoutMs, kind.deadlineMs))

const createExchange = (context: PipelineContext, call: Call, accepted: Accepted, runtime: ServiceRuntime): Exchange => {
  const { kind, control, path } = accepted
  const { arrivedMs } = call
  const nowMs = context.clock.nowMs()
  const givenId = call.req.headers[context.dialect.requestIdHeader.toLowerCase()]
  const id = isRequestId(givenId) ? givenId : context.nextRequestId()
  let givenHead: string | undefined
  const head = (): string => (givenHead ??= headIdentity(call, path))
  const exchange: Exchange = {
    id,
    call,
    method: call.req.method ?? 'GET',
    path,
    head,
    runtime,
    kind,
    allowedZones: accepted.allowedZones,
    body: createRequestBody({
      call,
      collectBytesMax: context.collectBytesMax,
      readAhead: context.readAhead,
      collectsAny: context.crashWatch.hasSuspectHead(head),
      collectsUnknownSize: kind.idempotent && kind.boundedBy === 'deadline',
      bytesMax: kind.bodyBytesMax,
      onTooLarge: () => isolateErrors(context, exchange, () => onBodyTooLarge(context, exchange)),
      onProgress: () => { exchange.lastProgressMs = context.clock.nowMs() }
    }),
    headers: forwardedHeaders(context, call, id),
    callDepth: control.callDepth,
    retryAllowance: control.retryAllowance,
    arrivedMs,
    admittedMs: nowMs,
    deadlineMs: deadlineOf(accepted, arrivedMs),
    queueId: '',
    phase: 'collecting',
    isAnswered: false,
    hasLostTarget: false,
    triedTargetIds: new Set(),
    bodySends: [],
    attempts: [],
    attemptCount: 0,
    relayCount: 0,
    connectFailureCount: 0,
    attemptsMax: readAttemptsMax(call, kind),
    sendCount: 0,
    isHedged: false,
    responder: undefined,
    unknownResult: undefined,
    lastProgressMs: nowMs,
    deadlineTimer: undefined,
    progressTimer: undefined,
    hedgeTimer: undefined,
    placementTimer: undefined,
    search: undefined,
    targetWaiter: undefined,
    deniedTargetIds: new Set()
  }
  return exchange
}

/** Limits the time without progress instead of the total time. */
const scheduleProgressCheck = (context: PipelineContext, exchange: Exchange): void => {
  const limitMs = exchange.kind.deadlineMs
  exchange.progressTimer = context.wheel.schedule(exchange.lastProgressMs + limitMs, () => isolateErrors(context, exchange, () => {
    if (context.clock.nowMs() - exchange.lastProgressMs >= limitMs) onNoProgress(context, exchange)
    else scheduleProgressCheck(context, exchange)
  }))
}

const scheduleTimers = (context: PipelineContext, exchange: Exchange): void => {
  if (exchange.deadlineMs !== Infinity) exchange.deadlineTimer = context.wheel.schedule(exchange.deadlineMs, () => isolateErrors(context, exchange, () => onDeadline(context, exchange)))
  if (exchange.kind.boundedBy === 'progress') scheduleProgressCheck(context, exchange)
}

/**
 * Runs a step after the event loop has read all sockets once more. If the caller has
 * left, the end of its connection is read by then.
 */
const runAfterReads = (context: PipelineContext, exchange: Exchange, step: () => void): void => {
  setImmediate(() => setImmediate(() => isolateErrors(context, exchange, () => { if (exchange.phase === 'running') step() })))
}

const run = (context: PipelineContext, exchange: Exchange): void => {
  exchange.phase = 'running'
  exchange.admittedMs = context.clock.nowMs()
  const start = (): void => startAttempt(context, exchange, 'first')
  if (context.isLate()) runAfterReads(context, exchange, start)
  else start()
}

/** The queue needs a deadline. A request without one waits at most as long as it may be without progress. */
const queueDeadline = ({ deadlineMs, arrivedMs, kind }: Exchange): number =>
  deadlineMs === Infinity ? arrivedMs + kind.deadlineMs : deadlineMs

const admit = (context: PipelineContext, exchange: Exchange): void => {
  if (exchange.phase === 'settled') return
  const { runtime, kind } = exchange
  const nowMs = context.clock.nowMs()
  if (context.crashWatch.isRefused(exchange, 'first')) {
    failExchange(context, exchange, 'request-crashes-targets', { detail: context.crashWatch.describe(exchange) })
    return
  }
  if (!runtime.table.routing(nowMs).candidates.some(state => isZoneAllowed(state, exchange))) {
    failWithoutTarget(context, exchange)
    return
  }
  exchange.phase = 'queued'
  exchange.queueId = context.nextRequestId()
  const outcome = runtime.admission.offer({
    id: exchange.queueId,
    weight: kind.weight,
    deadlineMs: queueDeadline(exchange),
    run: () => isolateErrors(context, exchange, () => run(context, exchange)),
    refuse: ({ result, retryAfterMs }) => failExchange(context, exchange, result, { retryAfterMs })
  }, nowMs)
  if (outcome.decision === 'run') run(context, exchange)
  else if (outcome.decision === 'refused') failExchange(context, exchange, outcome.refusal.result, { retryAfterMs: outcome.refusal.retryAfterMs })
}

export const createRequestPipeline = (context: PipelineContext, callerLimits: CallerLimits): RequestPipeline => {
  const gate = createStartGate(context.clock)
  const openExchanges = new Set<Exchange>()

  const refuse = (call: Call, result: ResultName, detail?: string, retryAfterMs?: number): void => {
    if (context.isLeaving() && call.isLatest()) call.closeAfter()
    sendFailureResponse(call, result, { detail, retryAfterMs })
    context.recorder.refused(call, result, detail)
  }

  const startExchange = (call: Call, accepted: Accepted, runtime: ServiceRuntime): void => {
    const exchange = createExchange(context, call, accepted, runtime)
    openExchanges.add(exchange)
    call.onClosed = () => {
      openExchanges.delete(exchange)
      isolateErrors(context, exchange, () => onCallerDisconnected(context, exchange))
    }
    // The node that relays a request has counted it.
    if (!isRelayed(call)) runtime.retryBudget.recordRequest(exchange.arrivedMs)
    isolateErrors(context, exchange, () => {
      scheduleTimers(context, exchange)
      exchange.body.prepare(() => isolateErrors(context, exchange, () => admit(context, exchange)))
    })
  }

  const validateAndStart = (call: Call): void => {
    const validation = validateCall(call, context.runtimes.index(), context.dialect)
    if (!validation.ok) {
      refuse(call, validation.result, validation.detail, validation.result === 'node-not-ready' ? NOT_READY_RETRY_AFTER_MS : undefined)
      return
    }
    const runtime = context.runtimes.get(validation.service.name)
    if (runtime) startExchange(call, validation, runtime)
    else refuse(call, 'service-unknown')
  }

  const waitForConfiguration = (call: Call): void => {
    let isDisconnected = false
    call.onClosed = () => { isDisconnected = true }
    const resume = (): void => {
      call.onClosed = undefined
      if (isDisconnected) return
      try {
        validateAndStart(call)
      } catch (error) {
        context.recorder.internalError(error, undefined)
        call.breakOff()
      }
    }
    if (!gate.tryWait(resume, resume)) resume()
  }

  const handle = (call: Call): void => {
    if (context.isTooLateToSend()) {
      refuse(call, 'node-leaving', undefined, LEAVING_RETRY_AFTER_MS)
      return
    }
    if (isBehindRelay(context, call)) {
      refuse(call, 'node-not-ready', 'the node that relays the request has a newer configuration')
      return
    }
    const limit = callerLimits.tryRequest(call.address, context.clock.nowMs())
    if (!limit.ok) {
      refuse(call, 'caller-limit', undefined, limit.retryAfterMs)
      return
    }
    if (context.runtimes.index()) validateAndStart(call)
    else waitForConfiguration(call)
  }

  const refuseUnsent = (): void => {
    for (const exchange of [...openExchanges]) {
      if (!mayHaveRun(exchange)) isolateErrors(context, exchange, () => failExchange(context, exchange, 'node-leaving', { retryAfterMs: LEAVING_RETRY_AFTER_MS }))
    }
  }

  return { handle, callerLimits, inFlightCount: () => openExchanges.size, refuseUnsent, onConfigured: gate.open }
}
