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

/** Time after which a query that failed is repeated. */
const RETRY_AFTER_FAILURE_MS = 50

/** Whether the target of an attempt has stated a limit since the attempt was started without a permit. */
export const isPermitMissing = ({ hasPermit, table, targetId }: Attempt): boolean => !hasPermit && table.requestLimitPerS(targetId) !== undefined

/**
 * Time at which a request asks for a permit. After a denial for the same target it
 * waits until a permit may be due. For another target it asks at once, since the
 * owner can grant a permit for later, which is sooner known than a denial then.
 */
const queryMs = ({ deniedTargetIds, runtime }: Exchange, targetId: string, nowMs: number): number =>
  deniedTargetIds.has(targetId) ? Math.max(nowMs, runtime.table.nextPermitMs(targetId)) : nowMs

/**
 * Calls one of the handlers, unless the request ends before.
 * @param waitMaxMs how long the request can wait for a permit
 */
export const withPermit = (context: PipelineContext, exchange: Exchange, targetId: string, waitMaxMs: number, { onPermitted, onDenied }: PermitHandlers): void => {
  const { clock, wheel } = context
  const { table, configuration } = exchange.runtime
  const resume = (run: () => void): void => isolateErrors(context, exchange, () => { if (exchange.phase === 'running') run() })

  const deny = (retryAfterMs: number, askAgainMs?: number): void => {
    table.recordPermitDenied(targetId, retryAfterMs, clock.nowMs(), askAgainMs)
    exchange.deniedTargetIds.add(targetId)
    resume(onDenied)
  }

  const onAnswer = (answer: PermitAnswer): void => {
    const nowMs = clock.nowMs()
    table.recordLimitStatement(targetId, answer.statement, nowMs)
    if (answer.decision === 'denied') deny(answer.retryAfterMs, answer.askAgainMs)
    else if (answer.decision === 'granted' && answer.delayMs >= 1) exchange.placementTimer = wheel.schedule(nowMs + answer.delayMs, () => resume(() => onPermitted(true)))
    else resume(() => onPermitted(true))
  }

  const askAt = (atMs: number): void => {
    if (table.requestLimitPerS(targetId) === undefined) {
      onPermitted(false)
      return
    }
    const waitedMs = atMs - startMs
    context.requestPermit({ service: configuration.name, targetId, statement: table.limitStatement(targetId, clock.nowMs()), waitMaxMs: Math.max(0, waitMaxMs - waitedMs) })
      .then(onAnswer)
      .catch((error: unknown) => {
        context.recorder.internalError(error, exchange.id)
        deny(RETRY_AFTER_FAILURE_MS)
      })
  }

  const startMs = clock.nowMs()
  const atMs = queryMs(exchange, targetId, startMs)
  if (atMs <= startMs) askAt(startMs)
  else exchange.placementTimer = wheel.schedule(atMs, () => resume(() => askAt(atMs)))
}

/** Records what a response says about the limit. The permit owner is told of the end of a limit, because nodes without a limit do not ask it. */
export const recordStatedLimit = ({ clock, requestPermit, recorder }: PipelineContext, attempt: Attempt, stated: StatedLimit, nowMs: number): void => {
  const { table, targetId, writtenMs, exchange } = attempt
  if (stated === 'unreadable') recorder.limitUnreadable(attempt)
  const hadLimit = table.requestLimitPerS(targetId) !== undefined
  table.recordStatedLimit(targetId, stated, writtenMs ?? nowMs, nowMs)
  if (!hadLimit || table.requestLimitPerS(targetId) !== undefined) return
  requestPermit({ service: exchange.runtime.configuration.name, targetId, statement: table.limitStatement(targetId, nowMs), waitMaxMs: 0 })
    .then(({ statement }) => table.recordLimitStatement(targetId, statement, clock.nowMs()))
    .catch((error: unknown) => recorder.internalError(error, exchange.id))
}
