/**
 * Fetches the missing values of pending heads from peers and from the
 * configuration service and passes them to the configuration state. When the
 * head came from a peer, peers are queried first, and the service is read if
 * they do not have the values within 1 s. Attempts without progress back off. A
 * new head ends the backoff.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import type { ConfigurationState, ConfigurationStep } from '@wisteriavalve/fleet'
import type { MemberUpdate } from '@wisteriavalve/schema'
import type { ConfigurationService } from '../adapters/configuration-service.js'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { VALUES_PER_CALL_MAX } from '../adapters/peer-rpc.js'
import { createBackoff } from './backoff.js'
import type { ReadLimiter } from './read-limiter.js'
import { wait } from './wait.js'

export type ValueFetcherOptions = {
  clock: Clock
  random: Random
  state: ConfigurationState
  service: ConfigurationService
  readLimiter: ReadLimiter
  clients: PeerClients
  /** Peers that may have the values, in order of preference. */
  peers: () => PeerAddress[]
  onStep: (step: ConfigurationStep) => void
}

export type ValueFetcher = {
  /** Starts fetching, or ends the current backoff. */
  start: (source: 'service' | 'peer') => void
  stop: () => void
}

const SERVICE_CONCURRENCY = 8
const PEERS_FIRST_MS = 1000
/** Spreads the reads of nodes that found no peer with the values. */
const SERVICE_JITTER_MS = 200
const PEER_RETRY_MS = 100
const PEERS_PER_ROUND = 3

const chunksOf = <T>(items: readonly T[], size: number): T[][] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) => items.slice(index * size, (index + 1) * size))

export const createValueFetcher = (options: ValueFetcherOptions): ValueFetcher => {
  const { clock, random, state, service, readLimiter, clients } = options
  const backoff = createBackoff({ firstMs: 500, maxMs: 10_000, random })
  const stopController = new AbortController()
  let backoffController = new AbortController()
  let isRunning = false
  let isServiceFirst = false

  const provideValue = (hash: string, bytes: Uint8Array): void => {
    const step = state.provideValue(hash, bytes)
    if (step.step !== 'ignored' && step.step !== 'fetch') options.onStep(step)
  }

  const fetchFromPeer = async (peer: PeerAddress): Promise<void> => {
    for (const hashes of chunksOf(state.pendingHashes(), VALUES_PER_CALL_MAX)) {
      const values = await clients.to(peer).values.query(hashes, { signal: stopController.signal })
      for (const { hash, bytesBase64 } of values) provideValue(hash, Buffer.from(bytesBase64, 'base64'))
    }
  }

  const fetchFromPeers = async (): Promise<void> => {
    for (const peer of options.peers().slice(0, PEERS_PER_ROUND)) {
      if (state.pendingHashes().length === 0) return
      await fetchFromPeer(peer).catch(() => {})
    }
  }

  const readServiceValue = async (hash: string): Promise<void> => {
    await readLimiter.acquire(stopController.signal)
    if (stopController.signal.aborted || !state.isPending(hash)) return
    const value = await service.readValue(hash, stopController.signal)
    if (value.ok && value.value) provideValue(hash, value.value)
  }

  const fetchFromService = async (): Promise<void> => {
    const hashes = state.pendingHashes()
    const readNext = async (): Promise<void> => {
      for (let hash = hashes.shift(); hash !== undefined && !stopController.signal.aborted; hash = hashes.shift()) await readServiceValue(hash)
    }
    await Promise.all(Array.from({ length: SERVICE_CONCURRENCY }, readNext))
  }

  const fetchFromPeersWithin = async (durationMs: number): Promise<void> => {
    const endMs = clock.nowMs() + durationMs
    while (state.pendingHashes().length > 0 && clock.nowMs() < endMs && !stopController.signal.aborted) {
      const before = state.pendingHashes().length
      await fetchFromPeers()
      if (state.pendingHashes().length === before) await wait(clock, PEER_RETRY_MS, stopController.signal)
    }
  }

  /** Tries all sources once. */
  const attemptAllSources = async (): Promise<void> => {
    if (isServiceFirst) {
      await fetchFromService()
      await fetchFromPeers()
      return
    }
    await fetchFromPeersWithin(options.peers().length > 0 ? PEERS_FIRST_MS : 0)
    if (state.pendingHashes().length === 0) return
    await wait(clock, random.next() * SERVICE_JITTER_MS, stopController.signal)
    await fetchFromService()
  }

  const run = async (): Promise<void> => {
    while (!stopController.signal.aborted && state.pendingHashes().length > 0) {
      const before = state.pendingHashes().join()
      await attemptAllSources()
      const remaining = state.pendingHashes()
      if (remaining.length === 0 || remaining.join() !== before) continue
      options.onStep({ step: 'rejected', fault: { code: 'value-missing', message: `no source has value ${remaining[0]}` } })
      backoffController = new AbortController()
      await wait(clock, backoff.next(), AbortSignal.any([backoffController.signal, stopController.signal]))
    }
    backoff.reset()
  }

  const start = (source: 'service' | 'peer'): void => {
    isServiceFirst = source === 'service'
    backoffController.abort()
    if (isRunning || stopController.signal.aborted) return
    isRunning = true
    run().finally(() => { isRunning = false })
  }

  return { start, stop: () => stopController.abort() }
}

/** Puts peers that hold the wanted order, or a later one, before all others and keeps the order of preference within both groups. */
export const sortHoldersFirst = (peers: readonly MemberUpdate[], isHolder: (nodeId: string) => boolean): MemberUpdate[] =>
  [...peers.filter(({ nodeId }) => isHolder(nodeId)), ...peers.filter(({ nodeId }) => !isHolder(nodeId))]
