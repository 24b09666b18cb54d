/**
 * Types of the choice of a target.
 */
import type { Random } from '@wisteriavalve/common'
import type { ZoneRestriction } from '../zone-limits.js'
import type { RoutingState, TargetState } from './targets.js'

export type PolicyName = 'round-robin' | 'random' | 'least-in-flight' | 'two-choices' | 'prequal' | 'adaptive'

export type PolicyContext = { routing: RoutingState, zone: string, nowMs: number, random: Random }

export type PolicyChoice = { state: TargetState, reason: string }

/** Picks one of the eligible targets; there is at least one. */
export type Policy = (eligible: readonly TargetState[], context: PolicyContext) => PolicyChoice

export type SelectionRequest = ZoneRestriction & {
  /** Availability zone of this node. */
  zone: string
  /** Targets on which this request has already been attempted. */
  exclude: ReadonlySet<string>
  /** Non-idempotent requests are not sent to targets on probation. Defaults to true. */
  idempotent?: boolean
  /** Whether cold targets are excluded, as for a hedge. */
  excludesCold?: boolean
  /** How long the request can wait for a permit if only targets with a request limit are usable; 0 if absent. */
  permitWaitMaxMs?: number
}

export type Selection =
  | { ok: true, targetId: string, reason: string, permitWaitMaxMs: number }
  /** no-target: no target is usable; all-busy: each usable target is at its limit of concurrent requests. */
  | { ok: false, error: 'no-target' | 'all-busy' }
  /** Only targets with a request limit are usable, and no permit for them is issued in time. */
  | { ok: false, error: 'rate-limited', retryAfterMs: number, detail: string }
  /** All usable targets asked to be left alone for a time. */
  | { ok: false, error: 'paused', retryAfterMs: number }
