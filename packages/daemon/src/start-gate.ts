/**
 * Requests that arrive while the process has just started and reads its first
 * configuration. It takes some 100 ms, so waiting serves a caller sooner than
 * a refusal, after which it has to come back. A node that gets no
 * configuration within its first seconds refuses at once.
 */
import type { Clock } from '@wisteriavalve/common'

export type StartGate = {
  /** @returns false when the request has to be refused */
  tryWait: (onOpen: () => void, onTimeout: () => void) => boolean
  /** Lets all waiting requests through, in the order of their arrival. */
  open: () => void
}

const WAIT_MS = 300
const START_MS = 2_000
const WAITING_MAX = 256

export const createStartGate = (clock: Clock): StartGate => {
  const startedMs = clock.nowMs()
  const waiting = new Set<() => void>()
  let isOpen = false
  return {
    tryWait: (onOpen, onTimeout) => {
      if (isOpen || clock.nowMs() - startedMs > START_MS || waiting.size >= WAITING_MAX) return false
      const cancel = clock.after(WAIT_MS, () => {
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
