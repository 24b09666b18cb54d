/**
 * Warm-up permits on the request path: obtains a permit before a request is sent
 * to a target that is or may be cold. Request limits that the target states apply
 * in addition; see target-permits.ts.
 */
import { isWarmupGrant, type PermitAnswer } from '@wisteriavalve/fleet'
import { isolateErrors } from './completion.js'
import type { Attempt, Exchange } from './exchange.js'
import type { AttemptPurpose, PipelineContext } from './pipeline-context.js'
import { withPermit } from './target-permits.js'

export type PermitsHandlers = {
  onPermitted: (permits: Pick<Attempt, 'hasPermit' | 'warmupPermitEndMs'>) => void
  onDenied: () => void
}

type WarmupPermitHandlers = {
  /** @param permitEndMs time until which the permit may be used; -Infinity if none was needed */
  onPermitted: (permitEndMs: number) => void
  onDenied: () => void
}

/**
 * Time for which a permit is valid. It covers a new connection to a distant zone.
 * Permits used late add to later ones, so the time must be a small part of a second.
 */
const PERMIT_VALID_MS = 250
const RETRY_AFTER_FAILURE_MS = 50
/** Age of the statement about a target that never stated a limit; JSON has no infinite numbers. */
const STATEMENT_AGE_MAX_MS = 1_000_000_000

/** Whether the target of an attempt may be cold, and the attempt has no valid permit. */
export const isWarmupPermitMissing = ({ table, targetId, warmupPermitEndMs }: Attempt, nowMs: number): boolean =>
  nowMs >= warmupPermitEndMs && table.needsWarmupPermit(targetId, nowMs)

const withWarmupPermit = (context: PipelineContext, exchange: Exchange, targetId: string, waitMaxMs: number, { onPermitted, onDenied }: WarmupPermitHandlers): void => {
  const { clock, wheel } = context
  const { table, configuration } = exchange.runtime
  const startMs = clock.nowMs()
  if (!table.needsWarmupPermit(targetId, startMs)) {
    onPermitted(-Infinity)
    return
  }
  const resume = (run: () => void): void => isolateErrors(context, exchange, () => { if (exchange.phase === 'running') run() })
  const leftMs = (): number => Math.max(0, startMs + waitMaxMs - clock.nowMs())

  const deny = (retryAfterMs: number): void => {
    table.recordWarmupPermitDenied(targetId, retryAfterMs, clock.nowMs())
    resume(onDenied)
  }

  const onAnswer = (answer: PermitAnswer): void => {
    if (answer.decision !== 'granted' || !isWarmupGrant(answer)) {
      deny(answer.decision === 'denied' ? answer.retryAfterMs : RETRY_AFTER_FAILURE_MS)
      return
    }
    const dueMs = clock.nowMs() + answer.delayMs
    const permit = (): void => onPermitted(dueMs + PERMIT_VALID_MS)
    if (answer.delayMs >= 1) exchange.placementTimer = wheel.schedule(dueMs, () => resume(permit))
    else resume(permit)
  }

  const ask = (): void => {
    const nowMs = clock.nowMs()
    const { limitPerS, ageMs } = table.limitStatement(targetId, nowMs)
    context.requestPermit({
      service: configuration.name,
      targetId,
      statement: { limitPerS, ageMs: Math.min(STATEMENT_AGE_MAX_MS, ageMs) },
      waitMaxMs: leftMs(),
      warmupRatePerS: table.warmupRatePerS()
    })
      .then(onAnswer)
      .catch((error: unknown) => {
        context.recorder.internalError(error, exchange.id)
        deny(RETRY_AFTER_FAILURE_MS)
      })
  }

  const dueMs = Math.max(startMs, table.nextWarmupPermitMs(targetId))
  if (dueMs - startMs > waitMaxMs) {
    onDenied()
    return
  }
  table.recordWarmupQuery(targetId, dueMs, startMs)
  // Asks at once also for a permit that is due later, because the owner reserves it; a request that waited first would find it taken.
  ask()
}

/**
 * Obtains the permits that a request to the target needs, and calls one of the
 * handlers, unless the request ends before. The warm-up permit comes last, since it
 * expires. Hedges get none.
 * @param waitMaxMs how long the request can wait for permits
 */
export const withPermits = (
  context: PipelineContext, exchange: Exchange, purpose: AttemptPurpose, targetId: string, waitMaxMs: number, { onPermitted, onDenied }: PermitsHandlers
): void => {
  const { clock } = context
  const startMs = clock.nowMs()
  withPermit(context, exchange, targetId, waitMaxMs, {
    onPermitted: hasPermit => {
      const nowMs = clock.nowMs()
      if (purpose === 'hedge' && exchange.runtime.table.needsWarmupPermit(targetId, nowMs)) onDenied()
      else withWarmupPermit(context, exchange, targetId, Math.max(0, startMs + waitMaxMs - nowMs), { onPermitted: warmupPermitEndMs => onPermitted({ hasPermit, warmupPermitEndMs }), onDenied })
    },
    onDenied
  })
}
