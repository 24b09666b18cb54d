/**
 * Delays and timeouts for asynchronous loops, measured by the injected clock.
 */
import type { Clock } from '@wisteriavalve/common'

/** Resolves after the delay, or earlier when the signal is aborted. */
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

/** @returns undefined when the promise does not settle within the timeout */
export const withTimeout = async <T>(clock: Clock, timeoutMs: number, promise: Promise<T>): Promise<T | undefined> => {
  const timeout = new AbortController()
  try {
    return await Promise.race([promise, wait(clock, timeoutMs, timeout.signal).then(() => undefined)])
  } finally {
    timeout.abort()
  }
}
