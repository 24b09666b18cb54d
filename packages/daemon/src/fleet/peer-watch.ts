/**
 * Watches another node instead of the store. Each long poll of the store costs
 * money and counts against a rate limit that grows more slowly than the fleet.
 * Therefore one node of each availability zone polls the store, and the others
 * poll nodes.
 */
import type { Clock } from '@wisteriavalve/common'
import { fromSentChanges, type PublishedConfiguration, type PublishedStateView, type SentChanges, type StorePosition } from '@wisteriavalve/fleet'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { withDeadline } from '../adapters/deadline.js'
import { describeError } from '../adapters/http-json.js'
import type { WatchChanges } from './store-follower.js'

/** Response of a node to a peer that follows it. ageMs is the time since the store responded, including all nodes in between. */
export type PeerChanges =
  | StorePosition & SentChanges & { state: 'current', ageMs: number }
  /** The changes after the requested position are no longer kept, or the store was restored since. */
  | { state: 'restart', view: PublishedStateView, ageMs: number }
  /** The node's last contact with the store is too long ago, or before the restore that the peer knows of. */
  | { state: 'behind' }

/** Published state that a node has beyond what the requesting peer has. */
export type PublishedUpdate =
  | StorePosition & SentChanges & { state: 'changes' }
  /** The changes after the requested position are no longer kept, or the store was restored since. */
  | { state: 'whole', view: PublishedStateView }
  /** Only the configuration is newer: the store of the peer was restored from a copy with an older one. */
  | { state: 'configuration', configuration: PublishedConfiguration }

/** Nodes of earlier releases state no restore count. It is then taken to be that of the other side. */
export type ChangesQuery = { restoreCount?: number, afterRevision: number, waitMs: number }

/** What the requesting peer has. */
export type PublishedQuery = {
  restoreCount?: number
  revision: number
  /** -1 before the first configuration; absent at nodes of earlier releases. */
  configurationVersion?: number
}

/** Completes a response of a node of an earlier release, which states no restore count. */
export const withRestoreCount = <T extends object>(response: T, restoreCount: number): T => ({ restoreCount, ...response })

/** Time beyond the long poll's wait after which the call to the peer is aborted. */
const RESPONSE_MARGIN_MS = 500

export const createPeerWatch = (clients: PeerClients, peer: PeerAddress, clock: Clock): WatchChanges => async (after, waitMs, signal) => {
  const { restoreCount } = after
  try {
    const query: ChangesQuery = { restoreCount, afterRevision: after.revision, waitMs }
    const response = await withDeadline(waitMs + RESPONSE_MARGIN_MS, signal, deadline => clients.to(peer).changes.query(query, { signal: deadline }), clock.after)
    if (response.state === 'current') return { ok: true, value: { ...withRestoreCount(response, restoreCount), changes: fromSentChanges(response) } }
    if (response.state === 'restart') {
      const view = withRestoreCount(response.view, restoreCount)
      return { ok: true, value: { restoreCount: view.restoreCount, revision: view.revision, changes: [], view, ageMs: response.ageMs } }
    }
    return { ok: false, error: { kind: 'behind', message: 'the peer has no contact with the store' } }
  } catch (error) {
    return { ok: false, error: { kind: 'unreachable', message: describeError(error) } }
  }
}
