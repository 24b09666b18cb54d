/**
 * Node of the experiment: drives the decision logic for the requests of one
 * service in the order that the daemon does, over a simulated network.
 */
import type { Random } from '@wisteriavalve/common'
import {
  createAdmission, createRetryBudget, createTargetTable, planHedge, planRetry, selectTarget, splitRetryAllowance,
  type AttemptOutcome, type PolicyName, type TargetTable
} from '@wisteriavalve/policy'
import type { SimulatedKind } from './deployments.js'
import type { SimulationClock } from './simulation-clock.js'
import type { SimulatedTarget, TargetAnswer, Work } from './simulated-target.js'

export type NodeOptions = {
  clock: SimulationClock
  random: Random
  zone: string
  policy: PolicyName
  hedging: boolean
  exactReports: boolean
  table: TargetTable
  targets: ReadonlyMap<string, { target: SimulatedTarget, onewayMs: number }>
  record: (result: RequestResult) => void
}

export type RequestResult = {
  kind: SimulatedKind
  startedMs: number
  latencyMs: number
  outcome: 'ok' | 'not-run' | 'outcome-unknown'
  attempts: number
  hedged: boolean
  /** Attempts that a backend server began to run. */
  runs: number
}

type Attempt = { targetId: string, startedMs: number, work: Work, ended: boolean }

type Running = {
  id: string
  kind: SimulatedKind
  workMs: number
  startedMs: number
  deadlineMs: number
  attempts: Attempt[]
  hedged: boolean
  settled: boolean
  admitted: boolean
  sentMs: number
  allowance: number
}

const BUSY_RETRY_MS = 0.5
const EXPIRE_INTERVAL_MS = 5
const QUEUE_LENGTH_MAX = 200

export const createNode = (options: NodeOptions) => {
  const { clock, random, table, targets } = options
  const admission = createAdmission({ queueLengthMax: QUEUE_LENGTH_MAX, capacity: table.capacity })
  const budget = createRetryBudget()
  let sequence = 0

  const endAttempt = (attempt: Attempt, outcome: AttemptOutcome): void => {
    if (attempt.ended) return
    attempt.ended = true
    table.recordOutcome(attempt.targetId, outcome, clock.nowMs() - attempt.startedMs, clock.nowMs())
    if (outcome !== 'cancelled' && outcome !== 'timeout') return
    const place = targets.get(attempt.targetId)
    if (place) clock.at(clock.nowMs() + place.onewayMs, () => place.target.cancel(attempt.work))
  }

  const settle = (request: Running, outcome: RequestResult['outcome']): void => {
    if (request.settled) return
    request.settled = true
    for (const attempt of request.attempts) endAttempt(attempt, 'cancelled')
    const nowMs = clock.nowMs()
    if (request.admitted) admission.release(nowMs - request.sentMs, nowMs)
    else admission.cancel(request.id)
    options.record({
      kind: request.kind,
      startedMs: request.startedMs,
      latencyMs: nowMs - request.startedMs,
      outcome,
      attempts: request.attempts.length,
      hedged: request.hedged,
      runs: request.attempts.filter(({ work }) => work.running).length
    })
  }

  const fail = (request: Running, attempt: Attempt, outcome: Exclude<TargetAnswer['outcome'], 'ok'>): void => {
    endAttempt(attempt, outcome)
    if (request.settled || request.attempts.some(({ ended }) => !ended)) return
    const nowMs = clock.nowMs()
    const decision = planRetry({
      idempotent: request.kind.idempotent,
      isBodyReplayable: true,
      hasResponseStarted: false,
      deadlineMs: request.deadlineMs,
      attempts: request.attempts.length,
      allowance: request.allowance
    }, outcome, nowMs)
    if (decision.decision === 'give-up') settle(request, decision.resultClass)
    else if (!budget.tryTake('retry', nowMs)) settle(request, outcome === 'refused' || outcome === 'connect-failed' ? 'not-run' : 'outcome-unknown')
    else {
      request.allowance--
      send(request)
    }
  }

  const receive = (request: Running, attempt: Attempt, answer: TargetAnswer): void => {
    const nowMs = clock.nowMs()
    if (attempt.ended) return
    if (answer.draining) table.recordDraining(attempt.targetId, 'response', nowMs)
    if (answer.outcome !== 'ok') return fail(request, attempt, answer.outcome)
    table.recordLoadReport(attempt.targetId, { inFlight: answer.inFlight }, nowMs)
    table.recordFirstByte(attempt.targetId, nowMs - attempt.startedMs, nowMs)
    endAttempt(attempt, 'ok')
    settle(request, 'ok')
  }

  const send = (request: Running): void => {
    if (request.settled) return
    const nowMs = clock.nowMs()
    const exclude = new Set(request.attempts.map(({ targetId }) => targetId))
    if (options.exactReports) {
      for (const [id, { target }] of targets) table.recordLoadReport(id, { inFlight: target.inFlight() }, nowMs)
    }
    const selection = selectTarget(options.policy, table, { zone: options.zone, exclude, idempotent: request.kind.idempotent }, nowMs, random)
    if (!selection.ok) {
      if (selection.error === 'all-busy') clock.at(nowMs + BUSY_RETRY_MS, () => send(request))
      else if (request.attempts.every(({ ended }) => ended)) settle(request, 'not-run')
      return
    }
    request.allowance = splitRetryAllowance(request.allowance).retained
    const place = targets.get(selection.targetId)
    if (!place) throw new Error(`unknown target ${selection.targetId}`)
    const attempt: Attempt = {
      targetId: selection.targetId,
      startedMs: nowMs,
      ended: false,
      work: {
        workMs: request.workMs,
        cancelled: false,
        running: false,
        done: answer => clock.at(clock.nowMs() + place.onewayMs, () => receive(request, attempt, answer))
      }
    }
    request.attempts.push(attempt)
    table.recordStart(selection.targetId, nowMs)
    clock.at(nowMs + place.onewayMs, () => place.target.arrive(attempt.work))
    if (options.hedging && request.attempts.length === 1) hedge(request)
  }

  const hedge = (request: Running): void => {
    const nowMs = clock.nowMs()
    const first = request.attempts[0] as Attempt
    if (request.settled || first.ended) return
    const decision = planHedge({
      idempotent: request.kind.idempotent,
      isBodyReplayable: true,
      hasFirstByte: false,
      isHedged: request.hedged,
      startedMs: first.startedMs,
      deadlineMs: request.deadlineMs,
      allowance: request.allowance
    }, table.hedgeDelayMs(), budget, nowMs)
    if (decision.decision === 'wait') clock.at(decision.untilMs, () => hedge(request))
    if (decision.decision !== 'hedge') return
    request.hedged = true
    request.allowance--
    send(request)
  }

  const expireDeadline = (request: Running): void => {
    if (request.settled) return
    for (const attempt of request.attempts) endAttempt(attempt, 'timeout')
    settle(request, request.attempts.length > 0 ? 'outcome-unknown' : 'not-run')
  }

  const begin = (request: Running): void => {
    request.admitted = true
    request.sentMs = clock.nowMs()
    send(request)
  }

  const accept = (kind: SimulatedKind, workMs: number): void => {
    const nowMs = clock.nowMs()
    const request: Running = {
      id: String(sequence++),
      kind,
      workMs,
      startedMs: nowMs,
      deadlineMs: nowMs + kind.deadlineMs,
      attempts: [],
      hedged: false,
      settled: false,
      admitted: false,
      sentMs: nowMs,
      allowance: 3
    }
    budget.recordRequest(nowMs)
    clock.at(request.deadlineMs, () => expireDeadline(request))
    const { decision } = admission.offer({
      id: request.id,
      weight: kind.weight,
      deadlineMs: request.deadlineMs,
      run: () => begin(request),
      refuse: () => settle(request, 'not-run')
    }, nowMs)
    if (decision === 'run') begin(request)
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
