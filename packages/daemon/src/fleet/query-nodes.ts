/**
 * Queries all peers concurrently and lists those that failed to respond.
 */
import type { MemberUpdate } from '@wisteriavalve/schema'
import type { NodeResults, MissingNode } from '../admin-api.js'
import { describeError } from '../adapters/http-json.js'

const CONCURRENCY = 8

/** @param localResult result of this node, returned together with the results of the peers */
export const queryNodes = async <T>(
  localResult: T, peers: readonly MemberUpdate[], query: (peer: MemberUpdate) => Promise<T>
): Promise<NodeResults<T>> => {
  const nodes: T[] = [localResult]
  const missing: MissingNode[] = []
  const remainingPeers = [...peers]
  const queryNext = async (): Promise<void> => {
    for (let peer = remainingPeers.shift(); peer; peer = remainingPeers.shift()) {
      try {
        nodes.push(await query(peer))
      } catch (error) {
        missing.push({ nodeId: peer.nodeId, reason: describeError(error) })
      }
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, queryNext))
  return { nodes, missing }
}
