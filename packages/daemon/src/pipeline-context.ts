/**
 * What the steps of the request path share.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import type { PolicyName, ProbeAllowance, RepeatPurpose, WorkTimes } from '@wisteriavalve/policy'
import type { Call } from './adapters/caller-http.js'
import type { ResultName } from '@wisteriavalve/schema'
import type { DeadlineWheel } from './deadline-wheel.js'
import type { Attempt, Exchange } from './exchange.js'
import type { HeaderRules } from './headers.js'
import type { PauseDetector } from './pause-detector.js'
import type { ServiceRuntimes } from './service-runtimes.js'
import type { Wire } from './wire.js'

/** Takes note of what happened to requests, for logs, metrics, explain and the report. */
export type RequestRecorder = {
  /** @param lastResult what the attempt before met, for a repeat */
  routed: (attempt: Attempt, purpose: AttemptPurpose, lastResult: ResultName | undefined) => void
  answered: (exchange: Exchange, attempt: Attempt, nowMs: number) => void
  failed: (exchange: Exchange, result: ResultName, targetId: string | undefined, fields: { detail?: string, retryAfterMs?: number }) => void
  /** A request that did not become an exchange. */
  refused: (call: Call, result: ResultName, detail: string | undefined) => void
  /** Bytes of a caller that are not a request. */
  unreadable: (result: ResultName, address: string, reason: string) => void
  /** A target is asked for its load. */
  probed: () => void
  /** An error in this program. */
  fault: (error: unknown, requestId: string | undefined) => void
}

export type AttemptPurpose = 'first' | RepeatPurpose

export type PipelineContext = {
  clock: Clock
  random: Random
  zone: string
  policy: PolicyName
  wire: Wire
  /** Whether targets are asked for their load before each use. */
  asksBeforeUse: boolean
  workTimes: WorkTimes
  probeAllowance: ProbeAllowance
  headers: HeaderRules
  /** Bodies up to this size are collected before they are sent, and kept for another attempt. */
  collectBytesMax: number
  wheel: DeadlineWheel
  pause: PauseDetector
  runtimes: ServiceRuntimes
  recorder: RequestRecorder
  nextRequestId: () => string
  isLeaving: () => boolean
}
