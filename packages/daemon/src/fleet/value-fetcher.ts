/**
 * Collects the values that heads under way still miss, from peers and from the
 * configuration service, and gives them to the configuration state. Peers go
 * first when the head came from a peer; the service is asked when they did not
 * have the values within 1 s. Without progress the attempts back off, and a
 * new head starts them again at once.
 */
import type { Clock, Random } from '@wisteriavalve/common'
import type { ConfigurationState, ConfigurationStep } from '@wisteriavalve/fleet'
import type { MemberUpdate } from '@wisteriavalve/schema'
import type { ConfigurationService } from '../adapters/configuration-service.js'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { VALUES_PER_CALL_MAX } from '../adapters/peer-rpc.js'
import { createBackoff } from './backoff.js'
import type { ReadLimit } from './read-limit.js'
import { wait } from './wait.js'

export type ValueFetcherOptions = {
  clock: Clock
  random: Random
  state: ConfigurationState
  service: ConfigurationService
  limit: ReadLimit
  clients: PeerClients
  /** Peers that can have the values, best first. */
  peers: () => PeerAddress[]
  onStep: (step: ConfigurationStep) => void
}

export type ValueFetcher = {
  /** Starts collecting, or starts over when it waits for another attempt. */
  kick: (source: 'service' | 'peer') => void
  stop: () => void
}

const SERVICE_CONCURRENCY = 8
const PEERS_BEFORE_SERVICE_MS = 1000
/** Nodes that found no peer with the values do not read the service at the same moment. */
const SERVICE_JITTER_MS = 200
const PEER_RETRY_MS = 100
const PEERS_PER_ROUND = 3

const chunksOf = <T>(items: readonly T[], size: number): T[][] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) => items.slice(index * size, (index + 1) * size))

export const createValueFetcher = (options: ValueFetcherOptions): ValueFetcher => {
  const { clock, random, state, service, limit, clients } = options
  const backoff = createBackoff({ firstMs: 500, maxMs: 10_000, random })
  const stopped = new AbortController()
  let pause = new AbortController()
  let isRunning = false
  let isServiceFirst = false

  const provide = (hash: string, bytes: Uint8Array): void => {
    const step = state.provideValue(hash, bytes)
    if (step.step !== 'ignored' && step.step !== 'fetch') options.onStep(step)
  }

  const fromPeer = async (peer: PeerAddress): Promise<void> => {
    for (const hashes of chunksOf(state.pendingHashes(), VALUES_PER_CALL_MAX)) {
      const values = await clients.to(peer).values.query(hashes, { signal: stopped.signal })
      for (const { hash, bytesBase64 } of values) provide(hash, Buffer.from(bytesBase64, 'base64'))
    }
  }

  const fromPeers = async (): Promise<void> => {
    for (const peer of options.peers().slice(0, PEERS_PER_ROUND)) {
      if (state.pendingHashes().length === 0) return
      await fromPeer(peer).catch(() => {})
    }
  }

  const readOne = async (hash: string): Promise<void> => {
    await limit.acquire(stopped.signal)
    if (stopped.signal.aborted || !state.isPending(hash)) return
    const value = await service.readValue(hash, stopped.signal)
    if (value.ok && value.value) provide(hash, value.value)
  }

  const fromService = async (): Promise<void> => {
    const hashes = state.pendingHashes()
    const readNext = async (): Promise<void> => {
      for (let hash = hashes.shift(); hash !== undefined && !stopped.signal.aborted; hash = hashes.shift()) await readOne(hash)
    }
    await Promise.all(Array.from({ length: SERVICE_CONCURRENCY }, readNext))
  }

  const fromPeersWithin = async (durationMs: number): Promise<void> => {
    const endMs = clock.nowMs() + durationMs
    while (state.pendingHashes().length > 0 && clock.nowMs() < endMs && !stopped.signal.aborted) {
      const before = state.pendingHashes().length
      await fromPeers()
      if (state.pendingHashes().length === before) await wait(clock, PEER_RETRY_MS, stopped.signal)
    }
  }

  /** One attempt over all sources. */
  const attempt = async (): Promise<void> => {
    if (isServiceFirst) {
      await fromService()
      await fromPeers()
      return
    }
    await fromPeersWithin(options.peers().length > 0 ? PEERS_BEFORE_SERVICE_MS : 0)
    if (state.pendingHashes().length === 0) return
    await wait(clock, random.next() * SERVICE_JITTER_MS, stopped.signal)
    await fromService()
  }

  const run = async (): Promise<void> => {
    while (!stopped.signal.aborted && state.pendingHashes().length > 0) {
      const before = state.pendingHashes().join()
      await attempt()
      const left = state.pendingHashes()
      if (left.length === 0 || left.join() !== before) continue
      options.onStep({ step: 'rejected', fault: { code: 'value-missing', message: `no source has value ${left[0]}` } })
      pause = new AbortController()
      await wait(clock, backoff.next(), AbortSignal.any([pause.signal, stopped.signal]))
    }
    backoff.reset()
  }

  const kick = (source: 'service' | 'peer'): void => {
    isServiceFirst = source === 'service'
    pause.abort()
    if (isRunning || stopped.signal.aborted) return
    isRunning = true
    run().finally(() => { isRunning = false })
  }

  return { kick, stop: () => stopped.abort() }
}

/** Peers that hold an order at least as high as the one wanted go first; those of the own zone before others. */
export const orderHolders = (peers: readonly MemberUpdate[], isHolder: (nodeId: string) => boolean): MemberUpdate[] =>
  [...peers.filter(({ nodeId }) => isHolder(nodeId)), ...peers.filter(({ nodeId }) => !isHolder(nodeId))]
