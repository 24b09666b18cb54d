/**
 * Interface of the admin address: the tRPC procedures that the command-line
 * tool calls. The fleet procedures collect the results of all reachable nodes
 * and list the nodes that did not respond.
 */
import { initTRPC } from '@trpc/server'
import type { EventEntry, NodeReport, NodeStatus } from '@wisteriavalve/schema'

/** Filter for `explain`. An event must match every field that is present. */
export type ExplainQuery = {
  requestId?: string
  service?: string
  targetId?: string
  /** Only events of the last `withinMs` milliseconds. */
  withinMs?: number
  /** Only actions that the fleet took automatically. */
  automaticOnly?: boolean
}

export type MissingNode = { nodeId: string, reason: string }

export type NodeResults<T> = { nodes: T[], missing: MissingNode[] }

/** Data that the daemon supplies to the admin router. */
export type AdminSource = {
  status: () => NodeStatus
  explain: (query: ExplainQuery) => EventEntry[]
  fleetStatus: () => Promise<NodeResults<NodeStatus>>
  fleetExplain: (query: ExplainQuery) => Promise<NodeResults<{ nodeId: string, events: EventEntry[] }>>
  fleetReport: () => Promise<NodeResults<NodeReport>>
}

const STRING_FIELDS = ['requestId', 'service', 'targetId'] as const

const isRecord = (input: unknown): input is Record<string, unknown> =>
  typeof input === 'object' && input !== null && !Array.isArray(input)

/** @throws Error when a field has the wrong type */
export const parseExplainQuery = (input: unknown): ExplainQuery => {
  if (!isRecord(input)) throw new Error('the explain query must be an object')
  for (const field of STRING_FIELDS) {
    if (input[field] !== undefined && typeof input[field] !== 'string') throw new Error(`${field} must be a string`)
  }
  if (input.withinMs !== undefined && typeof input.withinMs !== 'number') throw new Error('withinMs must be a number')
  if (input.automaticOnly !== undefined && typeof input.automaticOnly !== 'boolean') throw new Error('automaticOnly must be a boolean')
  return input
}

export const createAdminRouter = (source: AdminSource) => {
  const { router, procedure } = initTRPC.create()
  return router({
    status: procedure.query(() => source.status()),
    explain: procedure.input(parseExplainQuery).query(({ input }) => source.explain(input)),
    fleetStatus: procedure.query(() => source.fleetStatus()),
    fleetExplain: procedure.input(parseExplainQuery).query(({ input }) => source.fleetExplain(input)),
    fleetReport: procedure.query(() => source.fleetReport())
  })
}

export type AdminRouter = ReturnType<typeof createAdminRouter>
