/**
 * Request limits of targets on the request path: obtains a permit before a
 * request is sent to a target that limits the requests of all nodes together, and
 * records what responses say about the limit.
 */
import type { PermitAnswer } from '@wisteriavalve/fleet'
import type { StatedLimit } from '@wisteriavalve/policy'
import type { Attempt, Exchange } from './exchange.js'
import { isolateErrors } from './completion.js'
import type { PipelineContext } from './pipeline-context.js'

export type PermitHandlers = {
  /** @param hasPermit false if the target needs no permit */
  onPermitted: (hasPermit: boolean) => void
  onDenied: () => void
}

/**
 * Longest time for which a denial is believed without asking again, so that the
 * end of a limit becomes known.
 */
const DENIAL_MS_MAX = 1_000

/** Whether the target of an attempt has stated a limit since the attempt was started without a permit. */
export const isPermitMissing = ({ hasPermit, table, targetId }: Attempt): boolean => !hasPermit && table.requestLimitPerS(targetId) !== undefined

/** Calls one of the handlers, unless the request ends before. */
export const withPermit = (context: PipelineContext, exchange: Exchange, targetId: string, waitMaxMs: number, { onPermitted, onDenied }: PermitHandlers): void => {
  const { clock, wheel } = context
  const { table, configuration } = exchange.runtime
  if (table.requestLimitPerS(targetId) === undefined) {
    onPermitted(false)
    return
  }
  const resume = (run: () => void): void => isolateErrors(context, exchange, () => { if (exchange.phase === 'running') run() })

  const onAnswer = (answer: PermitAnswer): void => {
    const nowMs = clock.nowMs()
    table.recordLimitStatement(targetId, answer.statement, nowMs)
    if (answer.decision === 'denied') {
      table.recordPermitDenied(targetId, nowMs + Math.min(DENIAL_MS_MAX, answer.retryAfterMs))
      resume(onDenied)
    } else if (answer.decision === 'unlimited') resume(() => onPermitted(false))
    else if (answer.delayMs < 1) resume(() => onPermitted(true))
    else exchange.placementTimer = wheel.schedule(nowMs + answer.delayMs, () => resume(() => onPermitted(true)))
  }

  context.requestPermit({ service: configuration.name, targetId, statement: table.limitStatement(targetId, clock.nowMs()), waitMaxMs })
    .then(onAnswer)
    .catch((error: unknown) => {
      context.recorder.internalError(error, exchange.id)
      resume(onDenied)
    })
}

/** Records what a response says about the limit. The permit owner is told of the end of a limit, because nodes without a limit do not ask it. */
export const recordStatedLimit = ({ clock, requestPermit, recorder }: PipelineContext, attempt: Attempt, stated: StatedLimit, nowMs: number): void => {
  const { table, targetId, writtenMs, exchange } = attempt
  const hadLimit = table.requestLimitPerS(targetId) !== undefined
  table.recordStatedLimit(targetId, stated, writtenMs ?? nowMs, nowMs)
  if (!hadLimit || table.requestLimitPerS(targetId) !== undefined) return
  requestPermit({ service: exchange.runtime.configuration.name, targetId, statement: table.limitStatement(targetId, nowMs), waitMaxMs: 0 })
    .then(({ statement }) => table.recordLimitStatement(targetId, statement, clock.nowMs()))
    .catch((error: unknown) => recorder.internalError(error, exchange.id))
}
