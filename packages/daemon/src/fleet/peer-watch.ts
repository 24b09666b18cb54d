/**
 * Watches another node instead of the store. Each long poll of the store costs
 * money and counts against a rate limit that grows more slowly than the fleet.
 * Therefore one node of each availability zone polls the store, and the others
 * poll nodes.
 */
import type { PublishedChange, PublishedStateView } from '@wisteriavalve/fleet'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { describeError } from '../adapters/http-json.js'
import type { WatchChanges } from './store-follower.js'

/** Response of a node to a peer that follows it. ageMs is the time since the store responded, including all nodes in between. */
export type PeerChanges =
  | { state: 'current', revision: number, changes: PublishedChange[], ageMs: number }
  /** The changes after the requested revision are no longer kept. */
  | { state: 'restart', view: PublishedStateView, ageMs: number }
  /** The node's last contact with the store is too long ago. */
  | { state: 'behind' }

/** Published state that a node has beyond the revision of the requesting peer. */
export type PublishedUpdate =
  | { state: 'changes', revision: number, changes: PublishedChange[] }
  /** The changes after the requested revision are no longer kept. */
  | { state: 'whole', view: PublishedStateView }

export type ChangesQuery = { afterRevision: number, waitMs: number }

/** Time beyond the long poll's wait after which the call to the peer is aborted. */
const RESPONSE_MARGIN_MS = 500

export const createPeerWatch = (clients: PeerClients, peer: PeerAddress): WatchChanges => async (afterRevision, waitMs, signal) => {
  try {
    const response = await clients.to(peer).changes.query({ afterRevision, waitMs }, { signal: AbortSignal.any([signal, AbortSignal.timeout(waitMs + RESPONSE_MARGIN_MS)]) })
    if (response.state === 'current') return { ok: true, value: { revision: response.revision, changes: response.changes, ageMs: response.ageMs } }
    if (response.state === 'restart') return { ok: true, value: { revision: response.view.revision, changes: [], view: response.view, ageMs: response.ageMs } }
    return { ok: false, error: { kind: 'behind', message: 'the peer has no contact with the store' } }
  } catch (error) {
    return { ok: false, error: { kind: 'unreachable', message: describeError(error) } }
  }
}
