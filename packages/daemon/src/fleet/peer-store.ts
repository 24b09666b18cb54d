/**
 * Following another node instead of the store. Each waiting call to the store
 * is paid for and counts against a rate that grows more slowly than the fleet,
 * so a few nodes of each availability zone wait at the store and the others
 * wait at them.
 */
import type { PublishedChange, PublishedStateView } from '@wisteriavalve/fleet'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { describeError } from '../adapters/http-json.js'
import type { WatchStore } from './store-follower.js'

/** What a node tells a peer that follows it. */
export type PeerChanges =
  | { state: 'current', revision: number, changes: PublishedChange[] }
  /** The asked revision is too far back. */
  | { state: 'restart', view: PublishedStateView }
  /** The node does not hear from the store itself. */
  | { state: 'behind' }

export type ChangesQuery = { afterRevision: number, waitMs: number }

/** Time on top of the wait after which the peer counts as silent. */
const MARGIN_MS = 500

export const createPeerStore = (clients: PeerClients, peer: PeerAddress): WatchStore => async (afterRevision, waitMs, signal) => {
  try {
    const answer = await clients.to(peer).changes.query({ afterRevision, waitMs }, { signal: AbortSignal.any([signal, AbortSignal.timeout(waitMs + MARGIN_MS)]) })
    if (answer.state === 'current') return { ok: true, value: { revision: answer.revision, changes: answer.changes } }
    if (answer.state === 'restart') return { ok: true, value: { revision: answer.view.revision, changes: [], view: answer.view } }
    return { ok: false, error: { kind: 'unreachable', message: 'the node does not hear from the store' } }
  } catch (error) {
    return { ok: false, error: { kind: 'unreachable', message: describeError(error) } }
  }
}
