/**
 * Runs one call with an abort signal that fires at the deadline or with the
 * parent signal. AbortSignal.any is not used: on Node 20 each combined signal
 * stays reachable from its long-lived parent, which would leak memory because
 * the platform is read every few seconds for months.
 */
export const withDeadline = async <T>(
  timeoutMs: number, parentSignal: AbortSignal | null | undefined, run: (signal: AbortSignal) => Promise<T>
): Promise<T> => {
  const controller = new AbortController()
  const abort = (): void => controller.abort(parentSignal?.reason)
  const timer = setTimeout(() => controller.abort(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
  if (parentSignal?.aborted) abort()
  parentSignal?.addEventListener('abort', abort)
  try {
    return await run(controller.signal)
  } finally {
    clearTimeout(timer)
    parentSignal?.removeEventListener('abort', abort)
  }
}
