/**
 * Ends of an exchange that gets no further attempt. An attempt that is still running
 * goes on, and its result becomes that of the request.
 */
import type { ResultName } from '@wisteriavalve/schema'
import { failExchange } from './completion.js'
import type { Exchange } from './exchange.js'
import type { PipelineContext } from './pipeline-context.js'

/**
 * Retry-After for a request that the tried targets refused or could not accept.
 * It is short because the caller's next try goes to other targets.
 */
export const RETRY_AFTER_REFUSAL_MS = 40

/** Keeps a request under which targets ended from the next target. An attempt that is running goes on. */
export const refuseSuspect = (context: PipelineContext, exchange: Exchange): void => {
  exchange.isHedged = true
  if (exchange.attempts.length === 0) failExchange(context, exchange, exchange.unknownResult ?? 'request-crashes-targets', { detail: context.crashWatch.describe(exchange) })
}

/** Ends a request that may not be sent again, unless one of its attempts is still running. */
export const failWithoutAttempt = (context: PipelineContext, exchange: Exchange, lastResult: ResultName | undefined): void => {
  if (exchange.attempts.length === 0) failExchange(context, exchange, exchange.unknownResult ?? lastResult ?? 'no-target')
}

/** Ends a request of which only a part could be sent again, unless one of its attempts is still running. */
export const failConsumedBody = (context: PipelineContext, exchange: Exchange, lastResult: ResultName | undefined): void => {
  if (exchange.attempts.length > 0) return
  failExchange(context, exchange, exchange.unknownResult ?? lastResult ?? 'body-consumed', { retryAfterMs: RETRY_AFTER_REFUSAL_MS })
}
