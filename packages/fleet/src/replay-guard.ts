/**
 * Drops datagrams that were received before. Each sending process (node and boot
 * id) has a window over its sequence numbers. A process is verified once it
 * acknowledged a nonce, whatever its boot id, so a node that restarted with an
 * older wall clock is not treated as a replay. Windows of unverified processes
 * are kept in a bounded cache: replayed datagrams of past processes cannot exhaust
 * memory, and the windows of verified members are not evicted.
 */
import { LRUCache } from 'lru-cache'
import { SEQUENCE_WINDOW, UNVERIFIED_WINDOWS_MAX } from './constants.js'

export type Freshness = 'replayed' | 'verified' | 'unverified'

export type ReplayGuard = {
  accept: (nodeId: string, bootId: number, sequence: number) => Freshness
  /** Marks a process as verified; it acknowledged a nonce in the datagram with this sequence number. */
  verify: (nodeId: string, bootId: number, sequence: number) => void
  forget: (nodeId: string) => void
  size: () => number
}

type Window = { bootId: number, highest: number, seen: bigint }

const ALL_SEEN = (1n << BigInt(SEQUENCE_WINDOW)) - 1n

/** Marks a sequence number as seen; returns false if it was seen before or is older than the window. Bit 0 is the highest number. */
const markSeen = (window: Window, sequence: number): boolean => {
  const ahead = sequence - window.highest
  if (ahead > 0) {
    window.seen = ahead >= SEQUENCE_WINDOW ? 1n : ((window.seen << BigInt(ahead)) & ALL_SEEN) | 1n
    window.highest = sequence
    return true
  }
  if (-ahead >= SEQUENCE_WINDOW) return false
  const bit = 1n << BigInt(-ahead)
  if ((window.seen & bit) !== 0n) return false
  window.seen |= bit
  return true
}

export const createReplayGuard = (): ReplayGuard => {
  const verified = new Map<string, Window>()
  const unverified = new LRUCache<string, Window>({ max: UNVERIFIED_WINDOWS_MAX })

  const accept = (nodeId: string, bootId: number, sequence: number): Freshness => {
    const verifiedWindow = verified.get(nodeId)
    if (verifiedWindow?.bootId === bootId) return markSeen(verifiedWindow, sequence) ? 'verified' : 'replayed'
    const key = `${nodeId}/${bootId}`
    const window = unverified.get(key)
    if (window) return markSeen(window, sequence) ? 'unverified' : 'replayed'
    unverified.set(key, { bootId, highest: sequence, seen: 1n })
    return 'unverified'
  }

  return {
    accept,
    // All earlier numbers are marked as seen: they may be replays from before this node started.
    verify: (nodeId, bootId, sequence) => {
      unverified.delete(`${nodeId}/${bootId}`)
      verified.set(nodeId, { bootId, highest: sequence, seen: ALL_SEEN })
    },
    forget: nodeId => { verified.delete(nodeId) },
    size: () => verified.size + unverified.size
  }
}
