/**
 * Pending long polls of peers for the next change of this node's published state.
 */
import type { Clock } from '@wisteriavalve/common'

export type ChangeWaiters = {
  /** Resolves at the next change, or after waitMs at the latest. */
  wait: (waitMs: number) => Promise<void>
  notify: () => void
}

export const createChangeWaiters = (clock: Clock): ChangeWaiters => {
  const waiting = new Set<() => void>()
  return {
    wait: waitMs => new Promise(resolve => {
      const finish = (): void => {
        waiting.delete(finish)
        cancel()
        resolve()
      }
      const cancel = clock.after(waitMs, finish)
      waiting.add(finish)
    }),
    notify: () => { for (const finish of [...waiting]) finish() }
  }
}
