/**
 * One request of a caller with all its attempts. An exchange ends exactly
 * once; when it ends without an answer, its attempts are taken back first, so
 * that nothing can send the request after its caller was told the result.
 */
import type { AttemptOutcome, TargetTable } from '@wisteriavalve/policy'
import type { Kind, ResultName } from '@wisteriavalve/schema'
import type { Call } from './adapters/caller-http.js'
import type { Sending } from './adapters/backend-http.js'
import type { BackendConnection, ConnectionWaiter, TargetConnections } from './backend-connections.js'
import type { WheelEntry } from './deadline-wheel.js'
import type { RequestBody } from './request-body.js'
import type { ServiceRuntime } from './service-runtimes.js'

export type Exchange = {
  id: string
  call: Call
  method: string
  path: string
  runtime: ServiceRuntime
  kind: Kind
  body: RequestBody
  /** Headers that go to the backend server with every attempt. */
  headers: string[]
  depth: number
  /** Extra attempts that this node may still make or pass on. */
  allowance: number
  arrivedMs: number
  admittedMs: number
  /** Infinity when only progress bounds the request. */
  deadlineMs: number
  /** Id in the admission queue; request ids come from callers and may repeat. */
  queueId: string
  phase: 'collecting' | 'queued' | 'running' | 'settled'
  tried: Set<string>
  attempts: Attempt[]
  attemptCount: number
  /** Attempts whose bytes were written. */
  sendCount: number
  /** When the first attempt was written; undefined before. */
  firstWrittenMs?: number
  isHedged: boolean
  /** Attempt whose response goes to the caller. */
  responder?: Attempt
  /** Result of an earlier attempt that may have run; no later failure can turn it into not-run. */
  unknownResult?: ResultName
  lastProgressMs: number
  expiry?: WheelEntry
  progressCheck?: WheelEntry
  hedgeCheck?: WheelEntry
  placementCheck?: WheelEntry
  retryBlocked?: () => void
}

export type Attempt = {
  exchange: Exchange
  targetId: string
  reason: string
  /** How many times the usual time work took on the target when it was chosen. */
  slowdown: number
  table: TargetTable
  pool: TargetConnections
  /** Pause epoch in which the target was selected. */
  epoch: number
  startedMs: number
  /** When the first byte was written; undefined before. */
  writtenMs?: number
  waiter?: ConnectionWaiter
  connection?: BackendConnection
  sending?: Sending
  isFinished: boolean
  /** The response is read and dropped to keep the connection in use. */
  isDropped: boolean
  droppedBytes: number
  /** Bytes of the response body went to the caller. */
  isFlushed: boolean
  status: number
  /** Share of the retry allowance that goes with the attempt. */
  passOn: number
  /** Times that a connection was lost before anything was written. */
  reacquireCount: number
}

export const isWritten = (attempt: Attempt): boolean => attempt.writtenMs !== undefined

/** Notes the end of an attempt once. */
export const finishAttempt = (attempt: Attempt, outcome: AttemptOutcome, nowMs: number): void => {
  if (attempt.isFinished) return
  attempt.isFinished = true
  const { exchange, table, targetId } = attempt
  exchange.attempts.splice(exchange.attempts.indexOf(attempt), 1)
  table.noteFinished(targetId, outcome, nowMs - (attempt.writtenMs ?? attempt.startedMs), nowMs)
}

/** Takes an attempt back. Its connection is closed, so a late response cannot reach anybody. */
export const abandonAttempt = (attempt: Attempt, outcome: AttemptOutcome, nowMs: number): void => {
  if (attempt.waiter) attempt.pool.cancel(attempt.waiter)
  attempt.waiter = undefined
  attempt.sending?.abort()
  if (attempt.connection) attempt.pool.discard(attempt.connection)
  attempt.connection = undefined
  finishAttempt(attempt, outcome, nowMs)
}
