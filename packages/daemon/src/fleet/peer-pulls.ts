/**
 * Pulls what is published in the store from other nodes, for a node that has lost
 * the store or that knows of a peer with newer state.
 */
import type { MemberUpdate } from '@wisteriavalve/schema'
import { withDeadline } from '../adapters/deadline.js'
import { describeError } from '../adapters/http-json.js'
import type { PeerClients } from '../adapters/peer-client.js'
import type { DaemonContext } from '../types.js'
import type { PublishedQuery, PublishedUpdate } from './peer-watch.js'

export type PeerPulls = {
  /** Resolves when the peer has answered or failed, or is no member. */
  pullFrom: (peerId: string) => Promise<void>
  /** Pulls from a random peer at a limited rate. Most pulls stay in the own zone, because traffic between zones costs money. */
  pullFromAny: () => void
}

export type PeerPullsOptions = {
  context: DaemonContext
  /** The other members of the fleet. */
  peers: () => MemberUpdate[]
  clients: PeerClients
  /** What this node has. */
  query: () => PublishedQuery
  onUpdate: (update: PublishedUpdate, peerId: string) => void
}

/** Minimum interval between two pulls of a node without contact to the store. */
const PULL_INTERVAL_MS = 500
/** One in this many pulls may go to another zone. */
const PULLS_PER_CROSS_ZONE_PULL = 3
/** A peer answers within some ms; one that takes longer is not waited for, since another one may know as much. */
const PULL_TIMEOUT_MS = 600

export const createPeerPulls = ({ context: { clock, random, settings, log }, peers, clients, query, onUpdate }: PeerPullsOptions): PeerPulls => {
  let lastPullMs = -Infinity
  let pullCount = 0

  const pull = async (peer: MemberUpdate): Promise<void> => {
    try {
      const update = await withDeadline(PULL_TIMEOUT_MS, null, signal => clients.to(peer).published.query(query(), { signal }), clock.after)
      if (update) onUpdate(update, peer.nodeId)
    } catch (error) {
      log('peer_unreachable', { member: peer.nodeId, message: describeError(error) })
    }
  }

  const choosePeer = (): MemberUpdate | undefined => {
    const alivePeers = peers().filter(({ state }) => state === 'alive')
    const sameZonePeers = alivePeers.filter(({ zone }) => zone === settings.zone)
    const isCrossZoneTurn = (pullCount + 1) % PULLS_PER_CROSS_ZONE_PULL === 0
    const candidates = sameZonePeers.length === 0 || isCrossZoneTurn ? alivePeers : sameZonePeers
    return candidates[random.int(Math.max(1, candidates.length))]
  }

  return {
    pullFrom: async peerId => {
      const peer = peers().find(({ nodeId }) => nodeId === peerId)
      if (peer) await pull(peer)
    },
    pullFromAny: () => {
      const nowMs = clock.nowMs()
      if (nowMs - lastPullMs < PULL_INTERVAL_MS) return
      const peer = choosePeer()
      if (!peer) return
      pullCount++
      lastPullMs = nowMs
      pull(peer).catch(error => { throw error })
    }
  }
}
