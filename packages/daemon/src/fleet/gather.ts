/**
 * Asks all members for something and names those that did not answer.
 */
import type { MemberUpdate } from '@wisteriavalve/schema'
import type { Gathered, MissingNode } from '../admin-api.js'
import { describeError } from '../adapters/http-json.js'

const CONCURRENCY = 8

/** @param own what this node itself contributes */
export const gather = async <T>(
  own: T, peers: readonly MemberUpdate[], ask: (peer: MemberUpdate) => Promise<T>
): Promise<Gathered<T>> => {
  const nodes: T[] = [own]
  const missing: MissingNode[] = []
  const left = [...peers]
  const askNext = async (): Promise<void> => {
    for (let peer = left.shift(); peer; peer = left.shift()) {
      try {
        nodes.push(await ask(peer))
      } catch (error) {
        missing.push({ nodeId: peer.nodeId, reason: describeError(error) })
      }
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, askNext))
  return { nodes, missing }
}
