/**
 * The request path: intake, admission, attempts, settlement. See section 5 of
 * docs/design.md.
 */
import type { CallerLimits } from '@wisteriavalve/policy'
import type { ResultName } from '@wisteriavalve/schema'
import { answerFailure, type Call } from './adapters/caller-http.js'
import { startAttempt } from './attempts.js'
import type { Exchange } from './exchange.js'
import { isRequestId } from './headers.js'
import { examineCall, type Examined } from './intake.js'
import type { PipelineContext } from './pipeline-context.js'
import { createRequestBody } from './request-body.js'
import type { ServiceRuntime } from './service-runtimes.js'
import { createStartGate } from './start-gate.js'
import { contain, failExchange, onBodyTooLarge, onCallerGone, onDeadline, onNoProgress } from './settlement.js'

/** A node without a configuration expects to have one after this time. */
const NOT_READY_RETRY_AFTER_MS = 250

export type RequestPipeline = {
  handle: (call: Call) => void
  callerLimits: CallerLimits
  inFlightCount: () => number
  /** To be called when the first configuration is in force. */
  onConfigured: () => void
}

type Accepted = Extract<Examined, { ok: true }>

const forwardedHeaders = ({ wire, headers: rules }: PipelineContext, { req, address }: Call, id: string): string[] => {
  const headers = rules.request(req.rawHeaders, req.headers.connection)
  headers.push(wire.requestIdHeader, id)
  if (wire.forwardedForHeader === undefined) return headers
  const forwardedFor = req.headers[wire.forwardedForHeader]
  headers.push(wire.forwardedForHeader, forwardedFor === undefined ? address : `${String(forwardedFor)}, ${address}`)
  return headers
}

const deadlineOf = ({ kind, control: { timeoutMs = Infinity } }: Accepted, nowMs: number): number =>
  nowMs + (kind.boundedBy === 'progress' ? timeoutMs : Math.min(timeoutMs, kind.deadlineMs))

const createExchange = (context: PipelineContext, call: Call, accepted: Accepted, runtime: ServiceRuntime, arrivedMs: number): Exchange => {
  const { kind, control, path } = accepted
  const nowMs = context.clock.nowMs()
  const givenId = call.req.headers[context.wire.requestIdHeader.toLowerCase()]
  const id = isRequestId(givenId) ? givenId : context.nextRequestId()
  const exchange: Exchange = {
    id,
    call,
    method: call.req.method ?? 'GET',
    path,
    runtime,
    kind,
    body: createRequestBody({
      call,
      collectBytesMax: context.collectBytesMax,
      collectUnknown: kind.idempotent && kind.boundedBy === 'deadline',
      bytesMax: kind.bodyBytesMax,
      onTooLarge: () => contain(context, exchange, () => onBodyTooLarge(context, exchange)),
      onProgress: () => { exchange.lastProgressMs = context.clock.nowMs() }
    }),
    headers: forwardedHeaders(context, call, id),
    depth: control.depth,
    allowance: control.allowance,
    arrivedMs,
    admittedMs: nowMs,
    deadlineMs: deadlineOf(accepted, arrivedMs),
    queueId: '',
    phase: 'collecting',
    tried: new Set(),
    attempts: [],
    attemptCount: 0,
    sendCount: 0,
    isHedged: false,
    responder: undefined,
    unknownResult: undefined,
    lastProgressMs: nowMs,
    expiry: undefined,
    progressCheck: undefined,
    hedgeCheck: undefined,
    placementCheck: undefined,
    retryBlocked: undefined
  }
  return exchange
}

/** Bounds the time without a byte instead of the whole time. */
const watchProgress = (context: PipelineContext, exchange: Exchange): void => {
  const limitMs = exchange.kind.deadlineMs
  exchange.progressCheck = context.wheel.schedule(exchange.lastProgressMs + limitMs, () => contain(context, exchange, () => {
    if (context.clock.nowMs() - exchange.lastProgressMs >= limitMs) onNoProgress(context, exchange)
    else watchProgress(context, exchange)
  }))
}

const watchTime = (context: PipelineContext, exchange: Exchange): void => {
  if (exchange.deadlineMs !== Infinity) exchange.expiry = context.wheel.schedule(exchange.deadlineMs, () => contain(context, exchange, () => onDeadline(context, exchange)))
  if (exchange.kind.boundedBy === 'progress') watchProgress(context, exchange)
}

const run = (context: PipelineContext, exchange: Exchange): void => {
  exchange.phase = 'running'
  exchange.admittedMs = context.clock.nowMs()
  startAttempt(context, exchange, 'first')
}

/** The queue needs a deadline; without one, a request waits as long as it may go without progress. */
const queueDeadline = ({ deadlineMs, arrivedMs, kind }: Exchange): number =>
  deadlineMs === Infinity ? arrivedMs + kind.deadlineMs : deadlineMs

const admit = (context: PipelineContext, exchange: Exchange): void => {
  if (exchange.phase === 'settled') return
  const { runtime, kind } = exchange
  const nowMs = context.clock.nowMs()
  if (runtime.table.routing(nowMs).candidates.length === 0) {
    failExchange(context, exchange, 'no-target')
    return
  }
  exchange.phase = 'queued'
  exchange.queueId = context.nextRequestId()
  const outcome = runtime.admission.offer({
    id: exchange.queueId,
    weight: kind.weight,
    deadlineMs: queueDeadline(exchange),
    run: () => contain(context, exchange, () => run(context, exchange)),
    refuse: ({ result, retryAfterMs }) => failExchange(context, exchange, result, { retryAfterMs })
  }, nowMs)
  if (outcome.decision === 'run') run(context, exchange)
  else if (outcome.decision === 'refused') failExchange(context, exchange, outcome.refusal.result, { retryAfterMs: outcome.refusal.retryAfterMs })
}

export const createRequestPipeline = (context: PipelineContext, callerLimits: CallerLimits): RequestPipeline => {
  const gate = createStartGate(context.clock)
  let inFlightCount = 0

  const refuse = (call: Call, result: ResultName, detail?: string, retryAfterMs?: number): void => {
    answerFailure(call, result, { detail, retryAfterMs })
    context.recorder.refused(call, result, detail)
  }

  const begin = (call: Call, accepted: Accepted, runtime: ServiceRuntime, arrivedMs: number): void => {
    const exchange = createExchange(context, call, accepted, runtime, arrivedMs)
    inFlightCount++
    call.onClosed = () => {
      inFlightCount--
      contain(context, exchange, () => onCallerGone(context, exchange))
    }
    runtime.retryBudget.noteRequest(exchange.arrivedMs)
    contain(context, exchange, () => {
      watchTime(context, exchange)
      exchange.body.prepare(() => contain(context, exchange, () => admit(context, exchange)))
    })
  }

  const examine = (call: Call, arrivedMs: number): void => {
    const examined = examineCall(call, context.runtimes.index(), context.wire)
    if (!examined.ok) {
      refuse(call, examined.result, examined.detail, examined.result === 'node-not-ready' ? NOT_READY_RETRY_AFTER_MS : undefined)
      return
    }
    const runtime = context.runtimes.get(examined.service.name)
    if (runtime) begin(call, examined, runtime, arrivedMs)
    else refuse(call, 'service-unknown')
  }

  const waitForConfiguration = (call: Call, arrivedMs: number): void => {
    let isGone = false
    call.onClosed = () => { isGone = true }
    const resume = (): void => {
      call.onClosed = undefined
      if (!isGone) examine(call, arrivedMs)
    }
    if (!gate.tryWait(resume, resume)) resume()
  }

  const handle = (call: Call): void => {
    const limit = callerLimits.tryRequest(call.address, context.clock.nowMs())
    if (!limit.ok) {
      refuse(call, 'caller-limit', undefined, limit.retryAfterMs)
      return
    }
    if (context.runtimes.index()) examine(call, context.clock.nowMs())
    else waitForConfiguration(call, context.clock.nowMs())
  }

  return { handle, callerLimits, inFlightCount: () => inFlightCount, onConfigured: gate.open }
}
