/**
 * Heads that a new node gathers before it adopts one. It serves with the
 * newest that any reachable source knows: it asks the configuration service
 * and up to three peers and waits for all of them, but not longer than 2 s once
 * one of them has a head.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import { restoreCountOf, type HeadCandidate } from '@wisteriavalve/fleet'
import type { ConfigurationService } from '../adapters/configuration-service.js'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import type { ReadLimit } from './read-limit.js'
import { wait, within } from './wait.js'

export type StartupHeadsOptions = {
  clock: Clock
  random: Random
  service: ConfigurationService
  limit: ReadLimit
  clients: PeerClients
  /** Resolves with the peers to ask, once the VM list answered. */
  peers: () => Promise<PeerAddress[]>
  onServiceAnswer: (failure: string | undefined) => void
  signal: AbortSignal
}

const GATHER_MS = 2000
/** Nodes that start together do not read the service at the same moment. */
const START_JITTER_MS = 200

export const compareCandidates = (a: HeadCandidate, b: HeadCandidate): number =>
  a.restoreCount - b.restoreCount || a.revision - b.revision

const byOrderDescending = (a: HeadCandidate, b: HeadCandidate): number => compareCandidates(b, a)

export const askPeerForHead = async (clients: PeerClients, peer: PeerAddress): Promise<HeadCandidate | undefined> => {
  const head = await clients.to(peer).head.query().catch(() => null)
  return head === null
    ? undefined
    : { restoreCount: head.restoreCount, revision: head.revision, bytes: Buffer.from(head.bytesBase64, 'base64'), source: 'peer' }
}

const askService = async (options: StartupHeadsOptions): Promise<HeadCandidate | undefined> => {
  await wait(options.clock, options.random.next() * START_JITTER_MS, options.signal)
  await options.limit.acquire(options.signal)
  const read = await options.service.readHead(0, options.signal)
  options.onServiceAnswer(read.ok ? undefined : read.error)
  const head = read.ok ? read.value.head : undefined
  return head && { restoreCount: restoreCountOf(head.bytes), revision: head.revision, bytes: head.bytes, source: 'service' }
}

/** Heads of all sources that answered in time, newest first. */
export const gatherHeads = async (options: StartupHeadsOptions): Promise<HeadCandidate[]> => {
  const found: HeadCandidate[] = []
  const keep = (candidate: HeadCandidate | undefined): void => { if (candidate) found.push(candidate) }
  const peers = options.peers().then(all => Promise.all(all.map(async peer => keep(await askPeerForHead(options.clients, peer)))))
  await within(options.clock, GATHER_MS, Promise.all([askService(options).then(keep), peers]))
  return [...found].sort(byOrderDescending)
}
