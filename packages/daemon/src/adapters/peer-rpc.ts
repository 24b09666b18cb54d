/**
 * Server for calls between nodes: tRPC over HTTP on the peer address. All
 * procedures but the issue of permits are read-only. Requests without a valid HMAC are rejected with
 * status 401 before their content is parsed.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { initTRPC } from '@trpc/server'
import { fetchRequestHandler } from '@trpc/server/adapters/fetch'
import type { LimitStatement } from '@wisteriavalve/common'
import type { PermitAnswer, PermitQuery } from '@wisteriavalve/fleet'
import type { EventEntry, NodeReport, NodeStatus, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { parseExplainQuery, type ExplainQuery } from '../admin-api.js'
import type { ChangesQuery, PeerChanges, PublishedQuery, PublishedUpdate } from '../fleet/peer-watch.js'
import type { ListenAddress } from '../types.js'
import { guardConnection } from './library-guard.js'
import { AUTHENTICATION_HEADER, isSameMac, REQUEST_NONCE_HEADER, type PeerAuth } from './peer-auth.js'

export type PeerHead = { restoreCount: number, revision: number, bytesBase64: string }
export type PeerValue = { hash: string, bytesBase64: string }
/** ageMs is the time since a node read the list from the platform. The VMs are omitted when the requesting node has the same ones. */
export type PeerVmList = { ageMs: number, hash: string, vms?: VmEntry[] }
export type VmListQuery = { ageMs: number, hash: string }

/** Data that a node provides to its peers. */
export type PeerRpcSource = {
  head: () => PeerHead | null
  values: (hashes: readonly string[]) => PeerValue[]
  vmList: () => PeerVmList | null
  /** Published state of the platform's store; null unless this node has a later position or a newer configuration. */
  published: (query: PublishedQuery) => PublishedUpdate | null
  /** Changes of the published state, for peers that follow this node. */
  changes: (query: ChangesQuery) => Promise<PeerChanges>
  /** Permit for a request to a target that limits the requests of all nodes together. */
  permit: (query: PermitQuery) => PermitAnswer
  status: () => NodeStatus
  explain: (query: ExplainQuery) => EventEntry[]
  report: () => NodeReport
  /** Requests under which targets ended, for a node that has started or was cut off. */
  crashNotes: () => TargetNote[]
}

export const VALUES_PER_CALL_MAX = 64
/** A response adds no further values above this size; the requesting node queries the rest with another call. */
export const VALUES_BYTES_MAX = 2_000_000
const REQUEST_BYTES_MAX = 65_536
const REQUEST_TIMEOUT_MS = 5000
const ENDPOINT = '/peer'

const parseHashes = (input: unknown): string[] => {
  if (!Array.isArray(input) || input.length > VALUES_PER_CALL_MAX || !input.every(hash => typeof hash === 'string')) {
    throw new Error(`hashes must be an array of at most ${VALUES_PER_CALL_MAX} strings`)
  }
  return input
}

const parseVmListQuery = (input: unknown): VmListQuery => {
  const { ageMs, hash } = (input ?? {}) as Partial<Record<keyof VmListQuery, unknown>>
  if (typeof ageMs !== 'number' || !(ageMs >= 0) || typeof hash !== 'string') throw new Error('ageMs must be a number and hash a string')
  return { ageMs, hash }
}

const isOptionalNumber = (value: unknown): value is number | undefined => value === undefined || typeof value === 'number'

const parsePublishedQuery = (input: unknown): PublishedQuery => {
  const { restoreCount, revision, configurationVersion } = (input ?? {}) as Partial<Record<keyof PublishedQuery, unknown>>
  if (typeof revision !== 'number' || !isOptionalNumber(restoreCount) || !isOptionalNumber(configurationVersion)) {
    throw new Error('revision, restoreCount and configurationVersion must be numbers')
  }
  return { revision, restoreCount, configurationVersion }
}

/** Limits the wait of a long poll, because a wrong query must not hold a call for long. */
const CHANGES_WAIT_MAX_MS = 5_000

const parseChangesQuery = (input: unknown): ChangesQuery => {
  const { restoreCount, afterRevision, waitMs } = (input ?? {}) as Partial<Record<keyof ChangesQuery, unknown>>
  if (typeof afterRevision !== 'number' || !isOptionalNumber(restoreCount) || typeof waitMs !== 'number' || !(waitMs >= 0 && waitMs <= CHANGES_WAIT_MAX_MS)) {
    throw new Error('afterRevision, restoreCount and waitMs must be numbers')
  }
  return { restoreCount, afterRevision, waitMs }
}

/** Longest time for which a permit is issued ahead; requests do not wait longer for a target. */
const PERMIT_WAIT_MAX_MS = 60_000

const isText = (value: unknown): value is string => typeof value === 'string'
const isFiniteFrom0 = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

const parsePermitQuery = (input: unknown): PermitQuery => {
  const { service, targetId, nodeId, statement, waitMaxMs, warmupRatePerS } = (input ?? {}) as Partial<Record<keyof PermitQuery, unknown>>
  const { limitPerS, ageMs } = (statement ?? {}) as Partial<Record<keyof LimitStatement, unknown>>
  if (!isText(service) || !isText(targetId) || !isText(nodeId)) throw new Error('service, targetId and nodeId must be strings')
  if ((limitPerS !== null && !isFiniteFrom0(limitPerS)) || !isFiniteFrom0(ageMs) || !isFiniteFrom0(waitMaxMs)) throw new Error('limitPerS, ageMs and waitMaxMs must be numbers of at least 0')
  if (warmupRatePerS !== undefined && !isFiniteFrom0(warmupRatePerS)) throw new Error('warmupRatePerS must be a number of at least 0')
  return {
    service,
    targetId,
    nodeId,
    statement: { limitPerS, ageMs },
    waitMaxMs: Math.min(PERMIT_WAIT_MAX_MS, waitMaxMs),
    ...(warmupRatePerS !== undefined && { warmupRatePerS })
  }
}

const newerVmList = (list: PeerVmList | null, { ageMs, hash }: VmListQuery): PeerVmList | null => {
  if (!list || list.ageMs >= ageMs) return null
  return list.hash === hash ? { ageMs: list.ageMs, hash } : list
}

export const createPeerRouter = (source: PeerRpcSource) => {
  const { router, procedure } = initTRPC.create()
  return router({
    head: procedure.query(() => source.head()),
    values: procedure.input(parseHashes).query(({ input }) => source.values(input)),
    /** Null unless this node's list is newer than the given age. */
    vmList: procedure.input(parseVmListQuery).query(({ input }) => newerVmList(source.vmList(), input)),
    published: procedure.input(parsePublishedQuery).query(({ input }) => source.published(input)),
    changes: procedure.input(parseChangesQuery).query(({ input }) => source.changes(input)),
    permit: procedure.input(parsePermitQuery).mutation(({ input }) => source.permit(input)),
    status: procedure.query(() => source.status()),
    explain: procedure.input(parseExplainQuery).query(({ input }) => source.explain(input)),
    report: procedure.query(() => source.report()),
    crashNotes: procedure.query(() => source.crashNotes())
  })
}

export type PeerRouter = ReturnType<typeof createPeerRouter>

const readBody = async (request: IncomingMessage): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length
    if (sizeBytes > REQUEST_BYTES_MAX) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

const isAuthentic = (auth: PeerAuth, request: IncomingMessage, body: Buffer, nonce: string): boolean => {
  const expected = auth.signRequest({ method: request.method ?? '', path: request.url ?? '', body, nonce })
  return nonce.length > 0 && isSameMac(expected, request.headers[AUTHENTICATION_HEADER])
}

const callRouter = (router: PeerRouter, request: IncomingMessage, body: Buffer): Promise<Response> => fetchRequestHandler({
  endpoint: ENDPOINT,
  router,
  allowMethodOverride: true,
  req: new Request(`http://peer${request.url ?? ''}`, {
    method: request.method,
    headers: { 'content-type': 'application/json' },
    ...(request.method === 'POST' && { body: new Uint8Array(body) })
  })
})

export type PeerServer = { port: number, rejectedCount: () => number, bytesSent: () => number, close: () => Promise<void> }

const listen = (server: Server, { host, port }: ListenAddress): Promise<void> => new Promise((resolve, reject) => {
  server.once('error', reject)
  server.listen(port, host, () => {
    server.off('error', reject)
    resolve()
  })
})

export type OpenPeerServer = (address: ListenAddress, auth: PeerAuth, source: PeerRpcSource) => Promise<PeerServer>

/** @throws the system's error when the address cannot be bound */
export const openPeerServer: OpenPeerServer = async (address, auth, source) => {
  const router = createPeerRouter(source)
  let rejectedCount = 0
  let bytesSent = 0

  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request)
    const nonce = String(request.headers[REQUEST_NONCE_HEADER] ?? '')
    if (body === undefined || !isAuthentic(auth, request, body, nonce)) {
      rejectedCount++
      response.writeHead(body === undefined ? 413 : 401, { connection: 'close' }).end()
      return
    }
    const result = await callRouter(router, request, body)
    const bytes = Buffer.from(await result.arrayBuffer())
    bytesSent += bytes.length
    response.writeHead(result.status, {
      'content-type': 'application/json',
      'content-length': bytes.length,
      [AUTHENTICATION_HEADER]: auth.signResponse(nonce, result.status, bytes)
    }).end(bytes)
  }

  const server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS, maxHeaderSize: 16_384 },
    (request, response) => { handleRequest(request, response).catch(() => response.destroy()) })
  server.prependListener('connection', (socket: Socket) => guardConnection(socket, { side: 'peer', address: socket.remoteAddress ?? '' }))
  server.maxHeadersCount = 0
  server.maxConnections = 256
  await listen(server, address)
  server.on('error', () => {})
  return {
    port: (server.address() as AddressInfo).port,
    rejectedCount: () => rejectedCount,
    bytesSent: () => bytesSent,
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
