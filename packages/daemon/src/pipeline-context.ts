/**
 * Shared context of the steps of the request path.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import type { PolicyName, ProbeAllowance, RepeatPurpose, ServiceTimes, ZoneRoundTrips } from '@wisteriavalve/policy'
import type { Call } from './adapters/caller-http.js'
import type { ResultName } from '@wisteriavalve/schema'
import type { CrashWatch } from './crash-watch.js'
import type { DeadlineWheel } from './deadline-wheel.js'
import type { Attempt, Exchange } from './exchange.js'
import type { HeaderRules } from './headers.js'
import type { PauseDetector } from './pause-detector.js'
import type { ReadAhead } from './read-ahead.js'
import type { Relaying } from './relaying.js'
import type { ServiceRuntimes } from './service-runtimes.js'
import type { HttpDialect } from './http-dialect.js'
import type { RequestPermit } from './types.js'

/** Records the events of requests for logs, metrics, explain and the report. */
export type RequestRecorder = {
  /** @param lastResult for a retry or hedge, the result of the previous attempt */
  routed: (attempt: Attempt, purpose: AttemptPurpose, lastResult: ResultName | undefined) => void
  answered: (exchange: Exchange, attempt: Attempt, nowMs: number) => void
  failed: (exchange: Exchange, result: ResultName, targetId: string | undefined, fields: { detail?: string, retryAfterMs?: number }) => void
  /** A request was refused before an exchange was created. */
  refused: (call: Call, result: ResultName, detail: string | undefined) => void
  /** A caller sent bytes that cannot be parsed as a request. */
  malformed: (result: ResultName, address: string, reason: string) => void
  /** The request of an attempt was written. */
  written: (attempt: Attempt) => void
  /** A peer did not take a relayed request. */
  relayRefused: () => void
  /** A response states a request limit that cannot be read; the limit that was known stays in force. */
  limitUnreadable: (attempt: Attempt) => void
  /** A load probe is sent to a target. */
  probed: () => void
  /** An unexpected error occurred in the daemon itself. */
  internalError: (error: unknown, requestId: string | undefined) => void
}

export type AttemptPurpose = 'first' | RepeatPurpose

export type PipelineContext = {
  clock: Clock
  random: Random
  zone: string
  policy: PolicyName
  dialect: HttpDialect
  /** Whether targets are probed for their load before each attempt. */
  probesBeforeAttempt: boolean
  serviceTimes: ServiceTimes
  probeAllowance: ProbeAllowance
  /** Milliseconds of a caller's time that a kilobyte between zones is worth; without it, requests leave the zone without a limit. */
  crossZoneMsPerKb?: number
  roundTrips: ZoneRoundTrips
  headers: HeaderRules
  /** Bodies up to this size are collected before they are sent, and kept for further attempts. */
  collectBytesMax: number
  /** Memory for bodies of requests that wait for a target. */
  readAhead: ReadAhead
  wheel: DeadlineWheel
  pauseDetector: PauseDetector
  runtimes: ServiceRuntimes
  recorder: RequestRecorder
  requestPermit: RequestPermit
  relaying: Relaying
  crashWatch: CrashWatch
  nextRequestId: () => string
  isLeaving: () => boolean
  /** Whether this process handles events so late that callers may have left meanwhile. */
  isLate: () => boolean
  /** Whether a request that is not sent yet comes too late in the shutdown of this node. */
  isTooLateToSend: () => boolean
}
