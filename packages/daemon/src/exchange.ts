/**
 * One request of a caller with all its attempts. An exchange ends exactly
 * once. If it fails, its attempts are abandoned before the failure is sent, so
 * the request cannot be sent after its caller received the result.
 */
import type { AttemptOutcome, Search, TargetTable } from '@wisteriavalve/policy'
import type { Kind, ResultName } from '@wisteriavalve/schema'
import type { Call } from './adapters/caller-http.js'
import type { OutgoingRequest } from './adapters/backend-http.js'
import type { BackendConnection, ConnectionWaiter, TargetConnections } from './backend-connections.js'
import type { BodySend } from './body-sends.js'
import type { AttemptPurpose } from './pipeline-context.js'
import type { WheelEntry } from './deadline-wheel.js'
import type { RequestBody } from './request-body.js'
import type { ResponseWriter } from './response-writer.js'
import type { ServiceRuntime } from './service-runtimes.js'

export type Exchange = {
  id: string
  call: Call
  method: string
  path: string
  /** Identity of the request without its body; see request-identity.ts. */
  head: () => string
  runtime: ServiceRuntime
  kind: Kind
  /** Zones whose targets the request may reach; undefined: all. */
  allowedZones?: ReadonlySet<string>
  body: RequestBody
  /** Request headers that are sent with every attempt. */
  headers: string[]
  callDepth: number
  /** Extra attempts that this node may still make or delegate to the backend server. */
  retryAllowance: number
  arrivedMs: number
  admittedMs: number
  /** Infinity if the request is bounded by progress only. */
  deadlineMs: number
  /** Id in the admission queue. Request ids are set by callers and need not be unique. */
  queueId: string
  phase: 'collecting' | 'queued' | 'running' | 'settled'
  /** Whether a target ran the request and its response was relayed completely. */
  isAnswered: boolean
  /** Whether the connection of an attempt broke after the request was sent. */
  hasLostTarget: boolean
  triedTargetIds: Set<string>
  /** What each attempt that was written passed on of the body, in their order. */
  bodySends: BodySend[]
  attempts: Attempt[]
  attemptCount: number
  /** Number of peers that the request was relayed to. */
  relayCount: number
  /** Number of attempts at targets for which no connection was opened. */
  connectFailureCount: number
  /** Number of targets that this node and the peers that it relays to may send the request to. */
  attemptsMax: number
  /** Number of targets that the request was sent to, or may have been sent to by a peer. */
  sendCount: number
  /** Time at which the first attempt was written; undefined before. */
  firstWrittenMs?: number
  isHedged: boolean
  /** Attempt whose response is relayed to the caller. */
  responder?: Attempt
  /**
   * Result of an earlier attempt that may have run. Later failures must not
   * report the request as not-run.
   */
  unknownResult?: ResultName
  lastProgressMs: number
  deadlineTimer?: WheelEntry
  progressTimer?: WheelEntry
  hedgeTimer?: WheelEntry
  placementTimer?: WheelEntry
  /** Search for the target of the first attempt. */
  search?: Search
  targetWaiter?: () => void
  /** Targets with a request limit for which the request was denied a permit. */
  deniedTargetIds: Set<string>
}

export type Attempt = {
  exchange: Exchange
  targetId: string
  reason: string
  /** Processing time on the target, relative to the usual time, when the target was selected. */
  slowdown: number
  table: TargetTable
  pool: TargetConnections
  purpose: AttemptPurpose
  /** Whether the request is sent to a peer instead of a target. */
  isRelay: boolean
  /** Number of targets that the peer of a relayed request may send it to; 0 until it is written, and without a limit. */
  delegatedCount: number
  /** Whether the permit owner of the target permits one request. */
  hasPermit: boolean
  /** Time until which a warm-up permit for one request to the target is valid; -Infinity without one. */
  warmupPermitEndMs: number
  /** Pause epoch in which the target was selected. */
  pauseEpoch: number
  startedMs: number
  /** Time at which the first byte was written; undefined before. */
  writtenMs?: number
  waiter?: ConnectionWaiter
  connection?: BackendConnection
  outgoingRequest?: OutgoingRequest
  isFinished: boolean
  /** The response is read and dropped, so the connection can be reused. */
  isDropped: boolean
  droppedBytes: number
  /** Writes the response to the caller; present once its head has arrived. */
  writer?: ResponseWriter
  status: number
  /** Bytes of the response body that were received. */
  responseBytes: number
  /** Share of the retry allowance that is delegated to the backend server. */
  forwardedAllowance: number
  /** Number of connections that were lost before anything was written. */
  reacquireCount: number
  /** Ends the reservation of the target for this attempt. */
  releaseTarget?: () => void
}

/** Number of targets that the request may still be sent to, less attempts that are under way and not written yet. */
export const attemptsLeft = ({ attempts, attemptsMax, sendCount }: Exchange): number =>
  attemptsMax - sendCount - attempts.filter(attempt => !isWritten(attempt)).length

export const isWritten = (attempt: Attempt): boolean => attempt.writtenMs !== undefined

/** Records the end of an attempt. Further calls have no effect. */
export const finishAttempt = (attempt: Attempt, outcome: AttemptOutcome, nowMs: number): void => {
  if (attempt.isFinished) return
  attempt.isFinished = true
  attempt.releaseTarget?.()
  const { exchange, table, targetId } = attempt
  exchange.attempts.splice(exchange.attempts.indexOf(attempt), 1)
  table.recordOutcome(targetId, outcome, nowMs - (attempt.writtenMs ?? attempt.startedMs), nowMs)
}

/** Cancels an attempt and closes its connection, so a late response is not delivered. */
export const abandonAttempt = (attempt: Attempt, outcome: AttemptOutcome, nowMs: number): void => {
  if (attempt.waiter) attempt.pool.cancel(attempt.waiter)
  attempt.waiter = undefined
  attempt.writer?.drop()
  attempt.outgoingRequest?.abort()
  if (attempt.connection) attempt.pool.discard(attempt.connection)
  attempt.connection = undefined
  finishAttempt(attempt, outcome, nowMs)
}
