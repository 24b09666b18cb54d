/**
 * Simulated node: runs the decision logic for the requests of one service, in the
 * same order as the daemon, over a simulated network.
 */
import type { Random } from '@wisteriavalve/common'
import {
  createAdmission, createRetryBudget, createTargetTable, planHedge, planRetry, selectTarget, splitRetryAllowance,
  type AttemptOutcome, type PolicyName, type RetryLimits, type TargetTable
} from '@wisteriavalve/policy'
import type { SimulatedKind } from './deployments.js'
import type { SimulatedPlacement } from './simulated-placement.js'
import type { SimulationClock } from './simulation-clock.js'
import type { SimulatedTarget, TargetResponse, Work } from './simulated-target.js'

export type NodeOptions = {
  clock: SimulationClock
  random: Random
  zone: string
  policy: PolicyName
  isHedgingEnabled: boolean
  exactReports: boolean
  table: TargetTable
  targets: ReadonlyMap<string, { target: SimulatedTarget, oneWayMs: number }>
  /** Places requests by fresh load reports instead of the policy. */
  placement?: SimulatedPlacement
  retryLimits?: RetryLimits
  record: (result: RequestResult) => void
}

export type RequestResult = {
  /** Number of the request on its node, in the order of arrival. */
  sequence: number
  kind: SimulatedKind
  startedMs: number
  latencyMs: number
  outcome: 'ok' | 'not-run' | 'outcome-unknown'
  attempts: number
  isHedged: boolean
  /** Number of attempts that a backend server started to run. */
  runs: number
  /** Target of each attempt. */
  targetIds: string[]
  /** Time after which a refused caller is told to come back. */
  retryAfterMs?: number
}

type Attempt = { targetId: string, startedMs: number, slowdown: number, work: Work, hasEnded: boolean }

type PendingRequest = {
  id: string
  /** Identity of a request that its caller sends again. */
  identity: string | undefined
  kind: SimulatedKind
  workMs: number
  startedMs: number
  deadlineMs: number
  attempts: Attempt[]
  isHedged: boolean
  isSettled: boolean
  isAdmitted: boolean
  admittedMs: number
  allowance: number
  retryAfterMs?: number | undefined
}

const BUSY_RETRY_MS = 0.5
const EXPIRE_INTERVAL_MS = 5
const QUEUE_LENGTH_MAX = 200

export const createNode = (options: NodeOptions) => {
  const { clock, random, table, targets } = options
  const admission = createAdmission({ queueLengthMax: QUEUE_LENGTH_MAX, capacity: options.placement ? () => Infinity : table.capacity })
  const budget = createRetryBudget(options.retryLimits)
  let sequence = 0

  const endAttempt = (attempt: Attempt, outcome: AttemptOutcome): void => {
    if (attempt.hasEnded) return
    attempt.hasEnded = true
    table.recordOutcome(attempt.targetId, outcome, clock.nowMs() - attempt.startedMs, clock.nowMs())
    if (outcome !== 'cancelled' && outcome !== 'timeout') return
    const destination = targets.get(attempt.targetId)
    if (destination) clock.at(clock.nowMs() + destination.oneWayMs, () => destination.target.cancel(attempt.work))
  }

  const settle = (request: PendingRequest, outcome: RequestResult['outcome']): void => {
    if (request.isSettled) return
    request.isSettled = true
    for (const attempt of request.attempts) endAttempt(attempt, 'cancelled')
    const nowMs = clock.nowMs()
    if (request.isAdmitted) admission.release(nowMs - request.admittedMs, nowMs)
    else admission.cancel(request.id)
    options.record({
      sequence: Number(request.id),
      kind: request.kind,
      startedMs: request.startedMs,
      latencyMs: nowMs - request.startedMs,
      outcome,
      attempts: request.attempts.length,
      isHedged: request.isHedged,
      runs: request.attempts.filter(({ work }) => work.hasStarted).length,
      targetIds: request.attempts.map(({ targetId }) => targetId),
      ...(request.retryAfterMs !== undefined && { retryAfterMs: request.retryAfterMs })
    })
  }

  const handleFailure = (request: PendingRequest, attempt: Attempt, outcome: Exclude<TargetResponse['outcome'], 'ok'>): void => {
    endAttempt(attempt, outcome)
    if (request.isSettled || request.attempts.some(({ hasEnded }) => !hasEnded)) return
    const nowMs = clock.nowMs()
    const decision = planRetry({
      idempotent: request.kind.idempotent,
      isBodyReplayable: true,
      hasResponseStarted: false,
      deadlineMs: request.deadlineMs,
      attempts: request.attempts.length,
      allowance: request.allowance
    }, outcome, nowMs)
    const isRetried = decision.decision === 'retry' && budget.tryTake('retry', nowMs)
    if (!isRetried && request.attempts.length > 0) options.placement?.recordLost(request.kind, nowMs)
    if (decision.decision === 'give-up') settle(request, decision.resultClass)
    else if (!isRetried) settle(request, outcome === 'refused' || outcome === 'connect-failed' ? 'not-run' : 'outcome-unknown')
    else {
      request.allowance--
      send(request)
    }
  }

  const handleResponse = (request: PendingRequest, attempt: Attempt, response: TargetResponse): void => {
    const nowMs = clock.nowMs()
    if (attempt.hasEnded) return
    if (response.isDraining) table.recordDraining(attempt.targetId, 'response', nowMs)
    if (response.outcome !== 'ok') return handleFailure(request, attempt, response.outcome)
    const { inFlight, slowdown } = response
    table.recordLoadReport(attempt.targetId, options.placement ? { inFlight, slowdown } : { inFlight }, nowMs)
    options.placement?.recordResponse(request.kind, nowMs - attempt.startedMs, attempt.slowdown)
    table.recordFirstByte(attempt.targetId, nowMs - attempt.startedMs, nowMs)
    endAttempt(attempt, 'ok')
    settle(request, 'ok')
  }

  const send = (request: PendingRequest): void => {
    if (request.isSettled) return
    if (options.placement) {
      placeAndSend(request, options.placement)
      return
    }
    const nowMs = clock.nowMs()
    const exclude = new Set(request.attempts.map(({ targetId }) => targetId))
    if (options.exactReports) {
      for (const [id, { target }] of targets) table.recordLoadReport(id, { inFlight: target.inFlight() }, nowMs)
    }
    const selection = selectTarget(options.policy, table, { zone: options.zone, exclude, idempotent: request.kind.idempotent }, nowMs, random)
    if (!selection.ok) {
      if (selection.error === 'all-busy') clock.at(nowMs + BUSY_RETRY_MS, () => send(request))
      else if (request.attempts.every(({ hasEnded }) => hasEnded)) settle(request, 'not-run')
      return
    }
    sendTo(request, selection.targetId)
  }

  const placeAndSend = (request: PendingRequest, placement: SimulatedPlacement): void => placement.place({
    kind: request.kind,
    identity: request.identity,
    startedMs: request.startedMs,
    deadlineMs: request.deadlineMs,
    exclude: new Set(request.attempts.map(({ targetId }) => targetId)),
    isFirst: request.attempts.length === 0,
    isRunning: () => !request.isSettled
  }, (targetId, retryAfterMs) => {
    if (targetId !== undefined) return sendTo(request, targetId)
    request.retryAfterMs = retryAfterMs
    settle(request, request.attempts.some(({ work }) => work.hasStarted) ? 'outcome-unknown' : 'not-run')
  })

  const sendTo = (request: PendingRequest, targetId: string): void => {
    const nowMs = clock.nowMs()
    request.allowance = splitRetryAllowance(request.allowance).retained
    const destination = targets.get(targetId)
    if (!destination) throw new Error(`unknown target ${targetId}`)
    const attempt: Attempt = {
      targetId,
      startedMs: nowMs,
      slowdown: table.slowdown(targetId),
      hasEnded: false,
      work: {
        workMs: request.workMs,
        isCancelled: false,
        hasStarted: false,
        done: response => clock.at(clock.nowMs() + destination.oneWayMs, () => handleResponse(request, attempt, response))
      }
    }
    request.attempts.push(attempt)
    table.recordStart(targetId, nowMs)
    clock.at(nowMs + destination.oneWayMs, () => destination.target.arrive(attempt.work))
    if (options.isHedgingEnabled && request.attempts.length === 1) hedge(request)
  }

  const hedge = (request: PendingRequest): void => {
    const nowMs = clock.nowMs()
    const first = request.attempts[0] as Attempt
    if (request.isSettled || first.hasEnded) return
    const decision = planHedge({
      idempotent: request.kind.idempotent,
      isBodyReplayable: true,
      hasFirstByte: false,
      isHedged: request.isHedged,
      startedMs: first.startedMs,
      deadlineMs: request.deadlineMs,
      allowance: request.allowance
    }, table.hedgeDelayMs(), budget, nowMs)
    if (decision.decision === 'wait') clock.at(decision.untilMs, () => hedge(request))
    if (decision.decision !== 'hedge') return
    request.isHedged = true
    request.allowance--
    send(request)
  }

  const expireDeadline = (request: PendingRequest): void => {
    if (request.isSettled) return
    for (const attempt of request.attempts) endAttempt(attempt, 'timeout')
    settle(request, request.attempts.length > 0 ? 'outcome-unknown' : 'not-run')
  }

  const startAdmitted = (request: PendingRequest): void => {
    request.isAdmitted = true
    request.admittedMs = clock.nowMs()
    send(request)
  }

  const accept = (kind: SimulatedKind, workMs: number, identity?: string): void => {
    const nowMs = clock.nowMs()
    const request: PendingRequest = {
      id: String(sequence++),
      identity,
      kind,
      workMs,
      startedMs: nowMs,
      deadlineMs: nowMs + kind.deadlineMs,
      attempts: [],
      isHedged: false,
      isSettled: false,
      isAdmitted: false,
      admittedMs: nowMs,
      allowance: 3
    }
    budget.recordRequest(nowMs)
    clock.at(request.deadlineMs, () => expireDeadline(request))
    const { decision } = admission.offer({
      id: request.id,
      weight: kind.weight,
      deadlineMs: request.deadlineMs,
      run: () => startAdmitted(request),
      refuse: () => settle(request, 'not-run')
    }, nowMs)
    if (decision === 'run') startAdmitted(request)
    if (decision === 'refused') settle(request, 'not-run')
  }

  const expireQueue = (): void => {
    admission.expire(clock.nowMs())
    clock.at(clock.nowMs() + EXPIRE_INTERVAL_MS, expireQueue)
  }
  expireQueue()

  return { accept, admission }
}

export const createNodeTable = (service: string, slotsPerTarget: number, connectionShare: number): TargetTable =>
  createTargetTable({ service, slotsPerTarget, connectionShare })
