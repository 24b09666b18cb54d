/**
 * Interface of the admin address: the tRPC procedures that the command-line
 * tool calls. The fleet procedures collect the results of all reachable nodes
 * and list the nodes that did not respond.
 */
import { initTRPC } from '@trpc/server'
import type { EventEntry, NodeReport, NodeStatus, TargetStatus } from '@wisteriavalve/schema'

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

/** A request whose way is asked for without sending it. */
export type PreviewQuery = { method: string, path: string, host?: string, bodyBytes?: number }

export type PreviewDecision = {
  outcome: 'send' | 'wait' | 'refuse' | 'none'
  /** Present if the request would be sent. */
  targetId?: string
  reason: string
  /** Present if the request would be refused. */
  retryAfterMs?: number
}

export type ServicePreview = {
  service: string
  kind: string
  /** Share of the requests of this kind that go to the service, from 0 to 1. */
  share: number
  idempotent: boolean
  weight: number
  objectiveMs: number
  deadlineMs: number
  /** Targets that would be asked for their load before the decision. */
  probesFirst: string[]
  /** The decision by what the node knows now, as if no probe were answered. */
  decision: PreviewDecision
  targets: TargetStatus[]
}

export type RequestPreview = {
  nodeId: string
  zone: string
  /** False before the first configuration; every request is then refused as not run. */
  isConfigured: boolean
  /** Empty if no route or service matches. */
  services: ServicePreview[]
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
  preview: (query: PreviewQuery) => RequestPreview
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

/** @throws Error when a field is missing or has the wrong type */
export const parsePreviewQuery = (input: unknown): PreviewQuery => {
  if (!isRecord(input)) throw new Error('the preview query must be an object')
  const { method, path, host, bodyBytes } = input
  if (typeof method !== 'string' || typeof path !== 'string') throw new Error('method and path must be strings')
  if (host !== undefined && typeof host !== 'string') throw new Error('host must be a string')
  if (bodyBytes !== undefined && (typeof bodyBytes !== 'number' || !(bodyBytes >= 0))) throw new Error('bodyBytes must be a number of at least 0')
  return { method, path, ...(host !== undefined && { host }), ...(bodyBytes !== undefined && { bodyBytes }) }
}

export const createAdminRouter = (source: AdminSource) => {
  const { router, procedure } = initTRPC.create()
  return router({
    status: procedure.query(() => source.status()),
    explain: procedure.input(parseExplainQuery).query(({ input }) => source.explain(input)),
    fleetStatus: procedure.query(() => source.fleetStatus()),
    fleetExplain: procedure.input(parseExplainQuery).query(({ input }) => source.fleetExplain(input)),
    fleetReport: procedure.query(() => source.fleetReport()),
    preview: procedure.input(parsePreviewQuery).query(({ input }) => source.preview(input))
  })
}

export type AdminRouter = ReturnType<typeof createAdminRouter>
