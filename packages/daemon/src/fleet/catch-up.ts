/**
 * Notices through gossip that a peer has a newer configuration than this node, or
 * knows of a later change of the evacuated zones, and pulls it from that peer. Changes normally arrive from the nodes that this
 * node follows. When these have lost the store, with or without a sign, gossip
 * reaches every node that any node reaches.
 */
import type { Clock } from '@wisteriavalve/common'

export type CatchUp<T> = {
  /** To be called with what a peer named: the version of its configuration, or a position of the store. */
  recordSeen: (peerId: string, seen: T) => void
  stop: () => void
}

export type CatchUpOptions<T> = {
  clock: Clock
  /** Whether this node does not have yet what a peer named. */
  isBehind: (seen: T) => boolean
  /** Whether the news of this node is so old that no change is expected from the nodes that it follows. */
  isStale: () => boolean
  /** Resolves when the peer has answered or failed. */
  pullFrom: (peerId: string) => Promise<void>
}

/** Time for a change to arrive from the nodes that this node follows, which costs no call. */
const CATCH_UP_DELAY_MS = 150
/** Peers that are remembered as ahead, in case the first one does not answer. */
const PEERS_MAX = 4

export const createCatchUp = <T>({ clock, isBehind, isStale, pullFrom }: CatchUpOptions<T>): CatchUp<T> => {
  /** What peers named, the latest news last. */
  const ahead = new Map<string, T>()
  let cancel = (): void => {}
  let isScheduled = false
  let isStopped = false

  const takeLatest = (): string | undefined => {
    if (isStopped) return undefined
    for (const [peerId, seen] of [...ahead].reverse()) {
      ahead.delete(peerId)
      if (isBehind(seen)) return peerId
    }
    return undefined
  }

  const pullNext = async (): Promise<void> => {
    for (let peerId = takeLatest(); peerId !== undefined; peerId = takeLatest()) await pullFrom(peerId)
    isScheduled = false
  }

  const schedule = (): void => {
    isScheduled = true
    cancel = clock.after(isStale() ? 0 : CATCH_UP_DELAY_MS, () => { pullNext().catch(error => { throw error }) })
  }

  return {
    recordSeen: (peerId, seen) => {
      if (isStopped || !isBehind(seen)) return
      ahead.delete(peerId)
      ahead.set(peerId, seen)
      if (ahead.size > PEERS_MAX) ahead.delete(ahead.keys().next().value as string)
      if (!isScheduled) schedule()
    },
    stop: () => {
      isStopped = true
      cancel()
    }
  }
}
