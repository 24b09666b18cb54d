/**
 * Asks all given daemons for what the fleet knows and merges the answers. On
 * two sides of a partition each daemon reaches other nodes, so more than one
 * address gives a fuller picture.
 */
import type { Result } from '@wisteriavalve/common'
import type { NodeResults, MissingNode } from '@wisteriavalve/daemon/admin-api'
import type { ToolFailure } from '../types.js'
import { callAdmin, type AdminCall } from './client.js'

export type FleetData<T> = {
  nodes: T[]
  /** Nodes and admin addresses that did not answer, or not in a form that this tool reads. */
  missing: MissingNode[]
}

type Named = { nodeId: string }

export type GatherOptions<T> = {
  addresses: readonly string[]
  timeoutMs: number
  call: AdminCall<NodeResults<T>>
  /** Whether an entry has the form that this tool knows. */
  isValid: (entry: unknown) => boolean
}

const nameOf = (entry: unknown): string => {
  const nodeId = (entry as { nodeId?: unknown } | null)?.nodeId
  return typeof nodeId === 'string' ? nodeId : 'a node without an id'
}

const isGathered = (answer: unknown): answer is NodeResults<unknown> => {
  const { nodes, missing } = (answer ?? {}) as Partial<NodeResults<unknown>>
  return Array.isArray(nodes) && Array.isArray(missing) && missing.every(entry => typeof entry?.nodeId === 'string' && typeof entry.reason === 'string')
}

const mergeNodes = <T extends Named>(entries: readonly unknown[], missing: readonly MissingNode[], isValid: (entry: unknown) => boolean): FleetData<T> => {
  const nodes = new Map<string, T>()
  const absent = new Map<string, MissingNode>(missing.map(entry => [entry.nodeId, entry]))
  for (const entry of entries) {
    const nodeId = nameOf(entry)
    if (isValid(entry)) nodes.set(nodeId, nodes.get(nodeId) ?? entry as T)
    else absent.set(nodeId, { nodeId, reason: 'its answer has a form that this version of the tool does not know' })
  }
  return {
    nodes: [...nodes.values()].sort((a, b) => a.nodeId < b.nodeId ? -1 : 1),
    missing: [...absent.values()].filter(({ nodeId }) => !nodes.has(nodeId)).sort((a, b) => a.nodeId < b.nodeId ? -1 : 1)
  }
}

export const gatherFleet = async <T extends Named>({ addresses, timeoutMs, call, isValid }: GatherOptions<T>): Promise<Result<FleetData<T>, ToolFailure>> => {
  const answers = await Promise.all(addresses.map(address => callAdmin(address, call, timeoutMs)))
  const failures = answers.map(entry => 'failure' in entry
    ? { nodeId: entry.address, reason: entry.failure }
    : isGathered(entry.answer) ? undefined : { nodeId: entry.address, reason: 'the answer is not that of a daemon' })
  const unreachable = failures.filter(failure => failure !== undefined)
  if (unreachable.length === answers.length) {
    const message = unreachable.map(({ nodeId, reason }) => `${nodeId}: ${reason}`).join('; ')
    return { ok: false, error: { result: 'daemon-unreachable', message, details: { missing: unreachable } } }
  }
  const gathered = answers.flatMap(entry => 'answer' in entry && isGathered(entry.answer) ? [entry.answer] : [])
  const merged = mergeNodes<T>(gathered.flatMap(({ nodes }) => nodes as unknown[]), gathered.flatMap(({ missing }) => missing), isValid)
  return { ok: true, value: { nodes: merged.nodes, missing: [...unreachable, ...merged.missing] } }
}
