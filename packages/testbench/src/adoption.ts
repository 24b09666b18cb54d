/**
 * Checks which configuration is in force on the nodes of a fleet.
 */
import { createHash } from 'node:crypto'
import type { FleetNode } from './fleet-harness.js'
import type { ConfigurationEntry } from './platform/configuration-service.js'
import { waitUntil } from './wait.js'

/** Time within which an accepted configuration must be in force on all nodes. */
export const IN_FORCE_LIMIT_MS = 8000

export const computeHeadHash = (entries: readonly ConfigurationEntry[]): string => {
  const head = entries.find(entry => entry.key.endsWith('/head'))
  if (!head) throw new Error('the entries contain no head')
  return createHash('sha256').update(head.bytes).digest('hex')
}

export const readHeadHashInForce = async (node: FleetNode): Promise<string | undefined> => (await node.status()).configuration?.headHash

/** Waits until the configuration is in force on all nodes. @throws Error when it takes longer than the limit */
export const waitUntilInForce = async (nodes: readonly FleetNode[], entries: readonly ConfigurationEntry[], limitMs = IN_FORCE_LIMIT_MS): Promise<void> => {
  const hash = computeHeadHash(entries)
  await Promise.all(nodes.map(node => waitUntil(`configuration in force on ${node.nodeId}`, limitMs, async () => (await readHeadHashInForce(node)) === hash)))
}
