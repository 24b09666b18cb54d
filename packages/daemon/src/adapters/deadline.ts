/**
 * Runs one call with an abort signal that fires at the deadline or with the
 * parent signal. AbortSignal.any is not used: on Node 20 each combined signal
 * stays reachable from its long-lived parent, which would leak memory because
 * the platform is read every few seconds for months.
 */
import { createSystemClock, type Clock } from '@wisteriavalve/common'

const { after: systemAfter } = createSystemClock()

export const withDeadline = async <T>(
  timeoutMs: number, parentSignal: AbortSignal | null | undefined, run: (signal: AbortSignal) => Promise<T>, after: Clock['after'] = systemAfter
): Promise<T> => {
  const controller = new AbortController()
  const abort = (): void => controller.abort(parentSignal?.reason)
  const cancelTimer = after(timeoutMs, () => controller.abort(new Error(`no answer within ${timeoutMs} ms`)))
  if (parentSignal?.aborted) abort()
  parentSignal?.addEventListener('abort', abort)
  try {
    return await run(controller.signal)
  } finally {
    cancelTimer()
    parentSignal?.removeEventListener('abort', abort)
  }
}
