/**
 * Holds requests that arrive while a new process reads its first configuration.
 * This takes about 100 ms, so waiting is faster for the caller than a refusal
 * and a retry. If there is no configuration within the first 2 s, requests are
 * refused immediately.
 */
import type { Clock } from '@wisteriavalve/common'

export type StartGate = {
  /** @returns false if the request cannot wait */
  tryWait: (onOpen: () => void, onTimeout: () => void) => boolean
  /** Releases all waiting requests in order of arrival. */
  open: () => void
}

const WAIT_TIMEOUT_MS = 300
const STARTUP_WINDOW_MS = 2_000
const WAITING_MAX = 256

export const createStartGate = (clock: Clock): StartGate => {
  const startedMs = clock.nowMs()
  const waiting = new Set<() => void>()
  let isOpen = false
  return {
    tryWait: (onOpen, onTimeout) => {
      if (isOpen || clock.nowMs() - startedMs > STARTUP_WINDOW_MS || waiting.size >= WAITING_MAX) return false
      const cancel = clock.after(WAIT_TIMEOUT_MS, () => {
        waiting.delete(pass)
        onTimeout()
      })
      const pass = (): void => {
        cancel()
        onOpen()
      }
      waiting.add(pass)
      return true
    },
    open: () => {
      isOpen = true
      const all = [...waiting]
      waiting.clear()
      for (const pass of all) pass()
    }
  }
}
