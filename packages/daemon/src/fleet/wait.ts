/**
 * Waiting on the clock in asynchronous loops, cut short by an abort signal.
 */
import type { Clock } from '@wisteriavalve/common'

export const wait = (clock: Clock, delayMs: number, signal: AbortSignal): Promise<void> => new Promise(resolve => {
  if (signal.aborted) {
    resolve()
    return
  }
  const finish = (): void => {
    cancel()
    signal.removeEventListener('abort', finish)
    resolve()
  }
  const cancel = clock.after(delayMs, finish)
  signal.addEventListener('abort', finish)
})

/** Undefined when the time is over before the promise settles. */
export const withTimeout = async <T>(clock: Clock, timeoutMs: number, promise: Promise<T>): Promise<T | undefined> => {
  const timeout = new AbortController()
  try {
    return await Promise.race([promise, wait(clock, timeoutMs, timeout.signal).then(() => undefined)])
  } finally {
    timeout.abort()
  }
}
