/**
 * Requests fleet data from all given daemons and merges the responses. During
 * a network partition each daemon reaches only some of the nodes, so several
 * addresses give more complete data.
 */
import type { Result } from '@wisteriavalve/common'
import type { NodeResults, MissingNode } from '@wisteriavalve/daemon/admin-api'
import type { ToolFailure } from '../types.js'
import { callAdmin, type AdminCall } from './client.js'

export type FleetData<T> = {
  nodes: T[]
  /** Nodes and admin addresses that did not answer, or whose response has an unsupported format. */
  missing: MissingNode[]
}

type WithNodeId = { nodeId: string }

export type GatherOptions<T> = {
  addresses: readonly string[]
  timeoutMs: number
  call: AdminCall<NodeResults<T>>
  /** Whether the entry of a node has the expected format. */
  isValid: (entry: unknown) => boolean
}

const nodeIdOf = (entry: unknown): string => {
  const nodeId = (entry as { nodeId?: unknown } | null)?.nodeId
  return typeof nodeId === 'string' ? nodeId : 'a node without an id'
}

const isNodeResults = (response: unknown): response is NodeResults<unknown> => {
  const { nodes, missing } = (response ?? {}) as Partial<NodeResults<unknown>>
  return Array.isArray(nodes) && Array.isArray(missing) && missing.every(entry => typeof entry?.nodeId === 'string' && typeof entry.reason === 'string')
}

const mergeNodes = <T extends WithNodeId>(entries: readonly unknown[], missing: readonly MissingNode[], isValid: (entry: unknown) => boolean): FleetData<T> => {
  const nodes = new Map<string, T>()
  const missingById = new Map<string, MissingNode>(missing.map(entry => [entry.nodeId, entry]))
  for (const entry of entries) {
    const nodeId = nodeIdOf(entry)
    if (isValid(entry)) nodes.set(nodeId, nodes.get(nodeId) ?? entry as T)
    else missingById.set(nodeId, { nodeId, reason: 'its response has a format that this version of the tool does not support' })
  }
  return {
    nodes: [...nodes.values()].sort((a, b) => a.nodeId < b.nodeId ? -1 : 1),
    missing: [...missingById.values()].filter(({ nodeId }) => !nodes.has(nodeId)).sort((a, b) => a.nodeId < b.nodeId ? -1 : 1)
  }
}

export const gatherFleet = async <T extends WithNodeId>({ addresses, timeoutMs, call, isValid }: GatherOptions<T>): Promise<Result<FleetData<T>, ToolFailure>> => {
  const responses = await Promise.all(addresses.map(address => callAdmin(address, call, timeoutMs)))
  const failures = responses.map(entry => 'failure' in entry
    ? { nodeId: entry.address, reason: entry.failure }
    : isNodeResults(entry.response) ? undefined : { nodeId: entry.address, reason: 'the response is not from a wisteriavalve daemon' })
  const unreachable = failures.filter(failure => failure !== undefined)
  if (unreachable.length === responses.length) {
    const message = unreachable.map(({ nodeId, reason }) => `${nodeId}: ${reason}`).join('; ')
    return { ok: false, error: { result: 'daemon-unreachable', message, details: { missing: unreachable } } }
  }
  const gathered = responses.flatMap(entry => 'response' in entry && isNodeResults(entry.response) ? [entry.response] : [])
  const merged = mergeNodes<T>(gathered.flatMap(({ nodes }) => nodes as unknown[]), gathered.flatMap(({ missing }) => missing), isValid)
  return { ok: true, value: { nodes: merged.nodes, missing: [...unreachable, ...merged.missing] } }
}
