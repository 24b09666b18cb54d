/**
 * Collects the heads from which a new node adopts its first configuration. The
 * configuration service and up to three peers are read concurrently. The heads
 * of all that respond within 2 s are returned, because the node should start
 * with the newest configuration that any reachable source has.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import { restoreCountOf, type HeadCandidate } from '@wisteriavalve/fleet'
import type { ConfigurationService } from '../adapters/configuration-service.js'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import type { ReadLimiter } from './read-limiter.js'
import { wait, withTimeout } from './wait.js'

export type StartupHeadsOptions = {
  clock: Clock
  random: Random
  service: ConfigurationService
  readLimiter: ReadLimiter
  clients: PeerClients
  /** Resolves with the peers to query once the first read of the VM list has ended. */
  peers: () => Promise<PeerAddress[]>
  onServiceRead: (failure: string | undefined) => void
  signal: AbortSignal
}

const COLLECT_TIMEOUT_MS = 2000
/** Spreads the reads of nodes that start at the same time. */
const START_JITTER_MS = 200

export const compareCandidates = (a: HeadCandidate, b: HeadCandidate): number =>
  a.restoreCount - b.restoreCount || a.revision - b.revision

const byNewestFirst = (a: HeadCandidate, b: HeadCandidate): number => compareCandidates(b, a)

export const fetchPeerHead = async (clients: PeerClients, peer: PeerAddress): Promise<HeadCandidate | undefined> => {
  const head = await clients.to(peer).head.query().catch(() => null)
  return head === null
    ? undefined
    : { restoreCount: head.restoreCount, revision: head.revision, bytes: Buffer.from(head.bytesBase64, 'base64'), source: 'peer' }
}

const fetchServiceHead = async (options: StartupHeadsOptions): Promise<HeadCandidate | undefined> => {
  await wait(options.clock, options.random.next() * START_JITTER_MS, options.signal)
  await options.readLimiter.acquire(options.signal)
  const read = await options.service.readHead(0, options.signal)
  options.onServiceRead(read.ok ? undefined : read.error)
  const head = read.ok ? read.value.head : undefined
  return head && { restoreCount: restoreCountOf(head.bytes), revision: head.revision, bytes: head.bytes, source: 'service' }
}

/** Heads of all sources that responded in time, newest first. */
export const collectHeads = async (options: StartupHeadsOptions): Promise<HeadCandidate[]> => {
  const candidates: HeadCandidate[] = []
  const addCandidate = (candidate: HeadCandidate | undefined): void => { if (candidate) candidates.push(candidate) }
  const peers = options.peers().then(all => Promise.all(all.map(async peer => addCandidate(await fetchPeerHead(options.clients, peer)))))
  await withTimeout(options.clock, COLLECT_TIMEOUT_MS, Promise.all([fetchServiceHead(options).then(addCandidate), peers]))
  return [...candidates].sort(byNewestFirst)
}
