/**
 * Drops datagrams that were received before. Each sending process (node and
 * boot id) has a window over its sequence numbers. A process counts as
 * verified once it answered a nonce, whatever its boot id, so a node that
 * restarted with an older wall clock is not mistaken for a replay. Windows of
 * other processes are kept in a bounded cache: recorded datagrams of past
 * processes cannot use up memory, and the members' windows are not evicted.
 */
import { LRUCache } from 'lru-cache'
import { SEQUENCE_WINDOW, UNVERIFIED_WINDOWS_MAX } from './constants.js'

export type Freshness = 'replayed' | 'verified' | 'unverified'

export type ReplayGuard = {
  accept: (nodeId: string, bootId: number, sequence: number) => Freshness
  /** Trusts a process that answered a nonce with this sequence number. */
  verify: (nodeId: string, bootId: number, sequence: number) => void
  forget: (nodeId: string) => void
  size: () => number
}

type Window = { bootId: number, highest: number, seen: bigint }

const FULL = (1n << BigInt(SEQUENCE_WINDOW)) - 1n

/** Bit 0 stands for the highest sequence number. */
const enter = (window: Window, sequence: number): boolean => {
  const ahead = sequence - window.highest
  if (ahead > 0) {
    window.seen = ahead >= SEQUENCE_WINDOW ? 1n : ((window.seen << BigInt(ahead)) & FULL) | 1n
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
    const trusted = verified.get(nodeId)
    if (trusted?.bootId === bootId) return enter(trusted, sequence) ? 'verified' : 'replayed'
    const key = `${nodeId}/${bootId}`
    const window = unverified.get(key)
    if (window) return enter(window, sequence) ? 'unverified' : 'replayed'
    unverified.set(key, { bootId, highest: sequence, seen: 1n })
    return 'unverified'
  }

  return {
    accept,
    // All earlier numbers count as seen: they may be replays from before this node ran.
    verify: (nodeId, bootId, sequence) => {
      unverified.delete(`${nodeId}/${bootId}`)
      verified.set(nodeId, { bootId, highest: sequence, seen: FULL })
    },
    forget: nodeId => { verified.delete(nodeId) },
    size: () => verified.size + unverified.size
  }
}
