/**
 * Following another node instead of the store. Each waiting call to the store
 * is paid for and counts against a rate that grows more slowly than the fleet,
 * so one node of each availability zone waits at the store and the others wait
 * at nodes.
 */
import type { PublishedChange, PublishedStateView } from '@wisteriavalve/fleet'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { describeError } from '../adapters/http-json.js'
import type { WatchChanges } from './store-follower.js'

/** What a node tells a peer that follows it; the age is the time since the store answered, over all nodes between. */
export type PeerChanges =
  | { state: 'current', revision: number, changes: PublishedChange[], ageMs: number }
  /** The asked revision is too far back. */
  | { state: 'restart', view: PublishedStateView, ageMs: number }
  /** The node has not heard from the store for too long. */
  | { state: 'behind' }

/** What a node knows beyond the revision that a peer has. */
export type PublishedUpdate =
  | { state: 'changes', revision: number, changes: PublishedChange[] }
  /** The asked revision is too far back. */
  | { state: 'whole', view: PublishedStateView }

export type ChangesQuery = { afterRevision: number, waitMs: number }

/** Time on top of the wait after which the peer counts as silent. */
const RESPONSE_MARGIN_MS = 500

export const createPeerStore = (clients: PeerClients, peer: PeerAddress): WatchChanges => async (afterRevision, waitMs, signal) => {
  try {
    const answer = await clients.to(peer).changes.query({ afterRevision, waitMs }, { signal: AbortSignal.any([signal, AbortSignal.timeout(waitMs + RESPONSE_MARGIN_MS)]) })
    if (answer.state === 'current') return { ok: true, value: { revision: answer.revision, changes: answer.changes, ageMs: answer.ageMs } }
    if (answer.state === 'restart') return { ok: true, value: { revision: answer.view.revision, changes: [], view: answer.view, ageMs: answer.ageMs } }
    return { ok: false, error: { kind: 'behind', message: 'the node does not hear from the store' } }
  } catch (error) {
    return { ok: false, error: { kind: 'unreachable', message: describeError(error) } }
  }
}
