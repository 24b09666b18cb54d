/**
 * Client for calls between nodes. A response is accepted only with a valid HMAC
 * that covers the nonce of its request.
 */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { LRUCache } from 'lru-cache'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { withDeadline } from './deadline.js'
import { AUTHENTICATION_HEADER, isSameMac, REQUEST_NONCE_HEADER, type PeerAuth } from './peer-auth.js'
import type { PeerRouter } from './peer-rpc.js'
import { createSmallRequestClient } from './small-request.js'

export type PeerAddress = Pick<MemberUpdate, 'host' | 'peerPort'>
export type PeerClient = TRPCClient<PeerRouter>

export type PeerClients = {
  to: (address: PeerAddress) => PeerClient
  callCount: () => number
  bytesReceived: () => number
  close: () => Promise<void>
}

const CLIENTS_MAX = 512
const CALL_TIMEOUT_MS = 2_000
const CONNECT_TIMEOUT_MS = 1_000
const KEEP_ALIVE_MS = 4_000
const CONNECTIONS_MAX = 2
const RESPONSE_BYTES_MAX = 16_000_000

export const createPeerClients = (auth: PeerAuth): PeerClients => {
  const client = createSmallRequestClient({
    bytesMax: RESPONSE_BYTES_MAX, connectionsMax: CONNECTIONS_MAX, connectTimeoutMs: CONNECT_TIMEOUT_MS, keepAliveMs: KEEP_ALIVE_MS
  })
  let callCount = 0
  let bytesReceived = 0

  const signedFetch = async (url: string | URL, options: { method?: string, body?: unknown, signal?: AbortSignal | null } = {}) => {
    const { pathname, search } = new URL(url)
    const method = options.method === 'POST' ? 'POST' : 'GET'
    const body = typeof options.body === 'string' ? options.body : ''
    const nonce = auth.newNonce()
    callCount++
    const { status, header, body: bytes } = await withDeadline(CALL_TIMEOUT_MS, options.signal, signal => client.send(url, {
      method,
      headers: {
        'content-type': 'application/json',
        [REQUEST_NONCE_HEADER]: nonce,
        [AUTHENTICATION_HEADER]: auth.signRequest({ method, path: pathname + search, body, nonce })
      },
      ...(method === 'POST' && { body })
    }, signal))
    bytesReceived += bytes.length
    if (!isSameMac(auth.signResponse(nonce, status, bytes), header(AUTHENTICATION_HEADER))) {
      throw new Error(`the response is not authentic (status ${status})`)
    }
    return new Response(bytes, { status })
  }

  const createClient = ({ host, peerPort }: PeerAddress): PeerClient => createTRPCClient<PeerRouter>({
    links: [httpLink({ url: `http://${host.includes(':') ? `[${host}]` : host}:${peerPort}/peer`, methodOverride: 'POST', fetch: signedFetch })]
  })

  const clients = new LRUCache<string, PeerClient>({ max: CLIENTS_MAX })
  const to = (address: PeerAddress): PeerClient => {
    const key = `${address.host}:${address.peerPort}`
    const client = clients.get(key) ?? createClient(address)
    clients.set(key, client)
    return client
  }

  return { to, callCount: () => callCount, bytesReceived: () => bytesReceived, close: client.close }
}
