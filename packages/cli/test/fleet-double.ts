/**
 * Test doubles of daemons: the real admin router with fixed data, on free ports.
 */
import { createServer, type RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { ExecutionContext } from 'ava'
import { createAdminRouter, type AdminSource, type ExplainQuery, type MissingNode, type RequestPreview } from '@wisteriavalve/daemon/admin-api'
import type { BurnBucket, EventEntry, NodeReport, NodeStatus, TargetStatus } from '@wisteriavalve/schema'

export const MINUTE_MS = 60_000

export const createTarget = (changes: Partial<TargetStatus> = {}): TargetStatus => ({
  service: 'stockview', targetId: 'stock-1', host: '10.0.1.1', port: 9000, zone: 'lagos-a', health: 'ready', reason: 'answers', inFlight: 1, limit: 4, connections: 3, firstByteP99Ms: 12.34, ...changes
})

export const createStatus = (nodeId: string, changes: Partial<NodeStatus> = {}): NodeStatus => ({
  nodeId,
  fleet: 'okonkwo',
  zone: 'lagos-a',
  phase: 'serving',
  uptimeMs: 7_500_000,
  policy: 'adaptive',
  configuration: { restoreCount: 0, revision: 41, headHash: 'a'.repeat(64) },
  configurationState: 'current',
  configurationReason: '',
  members: ['entry-1', 'entry-2', 'entry-3'].map(member => ({ nodeId: member, incarnation: 1, state: 'alive' as const, zone: 'lagos-a', host: '10.0.0.1', callerPort: 8080, gossipPort: 8081, peerPort: 8082 })),
  targets: [createTarget()],
  counters: { requests: 5 },
  ...changes
})

export const createEvent = (wallMs: number, changes: Partial<EventEntry> = {}): EventEntry =>
  ({ atMs: 1, wallMs, event: 'target_state', service: 'stockview', targetId: 'stock-1', text: 'Target stock-1 of stockview was taken out for a while: 5 failures in a row.', automatic: true, ...changes })

export const createBucket = (minuteWallMs: number, requests: number, failed: number, changes: Partial<BurnBucket> = {}): BurnBucket => ({
  minuteWallMs,
  service: 'stockview',
  kind: 'stock-check',
  weight: 40,
  objective: { inTimePercent: 99.9, windowDays: 30 },
  requests,
  inTime: requests - failed,
  failures: failed > 0 ? [{ cause: 'late', targetId: 'stock-1', count: failed }] : [],
  ...changes
})

export const createReport = (nodeId: string, sinceWallMs: number, buckets: BurnBucket[], events: EventEntry[] = []): NodeReport =>
  ({ nodeId, zone: 'lagos-a', sinceWallMs, buckets, events })

export type FleetData = { statuses?: NodeStatus[], reports?: NodeReport[], events?: Record<string, EventEntry[]>, missing?: MissingNode[], preview?: RequestPreview }

const createSource = ({ statuses = [], reports = [], events = {}, missing = [], preview }: FleetData): AdminSource => {
  const find = (query: ExplainQuery) => (entry: EventEntry): boolean =>
    (['requestId', 'service', 'targetId'] as const).every(field => query[field] === undefined || query[field] === entry[field]) && (!query.automaticOnly || entry.automatic === true)
  return {
    status: () => statuses[0] ?? createStatus('entry-1'),
    explain: () => [],
    fleetStatus: async () => ({ nodes: statuses, missing }),
    fleetExplain: async query => ({ nodes: Object.entries(events).map(([nodeId, list]) => ({ nodeId, events: list.filter(find(query)) })), missing }),
    fleetReport: async () => ({ nodes: reports, missing }),
    preview: () => preview ?? { nodeId: 'entry-1', zone: 'lagos-a', isConfigured: true, services: [] }
  }
}

/** @returns its address, host:port */
export const serve = async (t: ExecutionContext, handler: RequestListener): Promise<string> => {
  const server = createServer(handler)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

export const serveFleet = (t: ExecutionContext, data: FleetData): Promise<string> =>
  serve(t, createHTTPHandler({ router: createAdminRouter(createSource(data)) }))

/** Address at which nothing listens: a port that was just released. */
export const findClosedAddress = async (): Promise<string> => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return `127.0.0.1:${port}`
}
