/**
 * Notices through gossip that a peer has a newer configuration than this node.
 * Changes normally arrive from the nodes that this node follows, and within
 * milliseconds of each other. When these have lost the store without a sign, the
 * state is pulled from the peer that is ahead.
 */
import type { Clock } from '@wisteriavalve/common'

export type CatchUp = {
  /** To be called with the configuration revision that a peer named. */
  recordSeen: (peerId: string, revision: number) => void
  stop: () => void
}

export type CatchUpOptions = {
  clock: Clock
  /** Revision of the configuration in force here. */
  revision: () => number
  pullFrom: (peerId: string) => void
}

/** Changes reach the nodes that read the store up to 400 ms apart, because each waits for more changes after the last one. */
const CATCH_UP_DELAY_MS = 450

export const createCatchUp = ({ clock, revision, pullFrom }: CatchUpOptions): CatchUp => {
  let cancel: (() => void) | undefined
  return {
    recordSeen: (peerId, seenRevision) => {
      if (cancel || seenRevision <= revision()) return
      cancel = clock.after(CATCH_UP_DELAY_MS, () => {
        cancel = undefined
        if (seenRevision > revision()) pullFrom(peerId)
      })
    },
    stop: () => cancel?.()
  }
}
