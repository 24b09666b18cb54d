/**
 * Brings configurations into force: gathers heads at the start, watches the
 * configuration service when it is this node's turn, pulls what peers announce
 * by gossip, and collects the values.
 */
import {
  compareOrder, createConfigurationState, isContradiction, planConfigurationReads, restoreCountOf,
  type AdoptedConfiguration, type ConfigurationStep, type HeadCandidate
} from '@wisteriavalve/fleet'
import type { ConfigurationOrder, MemberUpdate } from '@wisteriavalve/schema'
import { hashBytes, type Result } from '@wisteriavalve/common'
import type { ConfigurationService, HeadRead } from '../adapters/configuration-service.js'
import { describeError } from '../adapters/http-json.js'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { VALUES_BYTES_MAX, type PeerHead, type PeerValue } from '../adapters/peer-rpc.js'
import type { DaemonContext } from '../types.js'
import { createConfigurationStatus, type ConfigurationReport } from './configuration-status.js'
import { createReadLimit } from './read-limit.js'
import { createServiceWatch } from './service-watch.js'
import { askPeerForHead, gatherHeads } from './startup-heads.js'
import { createValueFetcher, orderHolders } from './value-fetcher.js'
import { wait } from './wait.js'

export type ConfigurationDriverOptions = {
  context: DaemonContext
  service: ConfigurationService
  clients: PeerClients
  members: () => MemberUpdate[]
  /** Peers of the VM list to ask at the start. */
  startupPeers: () => Promise<PeerAddress[]>
  onAdopted: (configuration: AdoptedConfiguration) => void
}

export type ConfigurationDriver = {
  start: () => void
  /** To be called on each change of the members. */
  noteMembers: () => void
  noteSeen: (from: string, order: ConfigurationOrder) => void
  adopted: () => AdoptedConfiguration | undefined
  isWatcher: () => boolean
  head: () => PeerHead | null
  values: (hashes: readonly string[]) => PeerValue[]
  report: () => ConfigurationReport
  stop: () => void
}

/** Time for the newest head to be completed before older ones of the start are tried. */
const NEWEST_FIRST_MS = 2000
const GATHER_RETRY_MS = 1000
/** An order that a peer announced and could not give is asked for again after this time. */
const PULL_RETRY_MS = 1000

export const createConfigurationDriver = (options: ConfigurationDriverOptions): ConfigurationDriver => {
  const { context, service, clients } = options
  const { clock, random, settings } = context
  const state = createConfigurationState({ fleet: settings.fleet, services: settings.services })
  const status = createConfigurationStatus(context)
  const limit = createReadLimit(clock)
  const stopped = new AbortController()
  const heldBy = new Map<string, ConfigurationOrder>()
  const pulls = new Set<string>()
  let isGathering = true
  let isReadingMissed = false
  let plan = planConfigurationReads({ selfId: settings.nodeId, zone: settings.zone, members: [] })

  /** A fault of the request path must not end the loops that would bring a repaired configuration. */
  const apply = (configuration: AdoptedConfiguration): void => {
    try {
      options.onAdopted(configuration)
    } catch (error) {
      status.noteRejected({ code: 'value-invalid', message: `it cannot be applied: ${describeError(error)}` })
    }
  }

  const takeStep = (step: ConfigurationStep, source: HeadCandidate['source']): void => {
    if (step.step === 'rejected') status.noteRejected(step.fault)
    if (step.step === 'fetch') fetcher.kick(source)
    if (step.step !== 'adopted') return
    limit.setEntryVmCountMax(step.configuration.settings.entryVmCountMax)
    status.noteAdopted(step.configuration)
    apply(step.configuration)
  }

  /** The order that the values under way are wanted for. */
  const wanted = (): ConfigurationOrder | undefined => state.pendingOrders()[0]

  const isHolder = (nodeId: string): boolean => {
    const held = heldBy.get(nodeId)
    const order = wanted()
    return held !== undefined && order !== undefined && compareOrder(held, order) >= 0
  }

  const fetcher = createValueFetcher({
    clock,
    random,
    state,
    service,
    limit,
    clients,
    peers: () => orderHolders(plan.pullFrom, isHolder),
    onStep: step => takeStep(step, 'peer')
  })

  const offer = (candidate: HeadCandidate): ConfigurationStep => {
    const step = state.offerHead(candidate)
    takeStep(step, candidate.source)
    return step
  }

  const noteContradiction = (order: ConfigurationOrder): void => {
    const inForce = state.adopted()?.order
    if (!inForce || !isContradiction(order, inForce)) return
    status.noteRejected({ code: 'value-invalid', message: `the configuration service gives other bytes for revision ${order.revision}, which is in force` })
  }

  const onServiceRead = (read: Result<HeadRead, string>): void => {
    status.noteService(read.ok ? undefined : read.error)
    if (!read.ok) return
    const { head } = read.value
    if (!head) {
      status.noteBehind(state.adopted() && 'it has no head')
      return
    }
    const restoreCount = restoreCountOf(head.bytes)
    const step = offer({ restoreCount, revision: head.revision, bytes: head.bytes, source: 'service' })
    const order = { restoreCount, revision: head.revision, headHash: hashBytes(head.bytes) }
    const isBehind = step.step === 'ignored' && step.reason === 'older'
    noteContradiction(order)
    status.noteBehind(isBehind ? `it has ${restoreCount}/${head.revision}` : undefined)
  }

  const watch = createServiceWatch({
    clock, random, service, limit, memberCount: () => options.members().length, onRead: onServiceRead
  })

  const isNews = (order: ConfigurationOrder): boolean => {
    const inForce = state.adopted()?.order
    return (!inForce || compareOrder(order, inForce) > 0) && !state.pendingOrders().some(other => compareOrder(order, other) <= 0)
  }

  const pull = async (peer: MemberUpdate, order: ConfigurationOrder): Promise<void> => {
    const key = `${peer.nodeId}/${order.restoreCount}/${order.revision}`
    if (pulls.has(key)) return
    pulls.add(key)
    const candidate = await askPeerForHead(clients, peer)
    if (candidate && !stopped.signal.aborted) offer(candidate)
    await wait(clock, PULL_RETRY_MS * (1 + random.next()), stopped.signal)
    pulls.delete(key)
    if (!candidate) await readMissed(order)
  }

  /** Datagrams of the peers arrive, but calls to them fail: the service is asked for the head. */
  const readMissed = async (order: ConfigurationOrder): Promise<void> => {
    if (isReadingMissed || stopped.signal.aborted || !isNews(order)) return
    isReadingMissed = true
    await limit.acquire(stopped.signal)
    const read = await service.readHead(0, stopped.signal)
    if (!stopped.signal.aborted) onServiceRead(read)
    isReadingMissed = false
  }

  const noteSeen = (from: string, order: ConfigurationOrder): void => {
    heldBy.set(from, order)
    if (isGathering || !isNews(order)) return
    const peer = options.members().find(({ nodeId }) => nodeId === from)
    if (peer) pull(peer, order)
  }

  const offerGathered = async (heads: readonly HeadCandidate[]): Promise<void> => {
    const [newest, ...older] = heads
    if (!newest) return
    offer(newest)
    const endMs = clock.nowMs() + NEWEST_FIRST_MS
    while (!state.adopted() && older.length > 0 && clock.nowMs() < endMs && !stopped.signal.aborted) await wait(clock, 20, stopped.signal)
    if (!state.adopted()) for (const head of older) offer(head)
  }

  const gather = async (): Promise<void> => {
    while (!stopped.signal.aborted && !state.adopted()) {
      const heads = await gatherHeads({
        clock, random, service, limit, clients, peers: options.startupPeers, onServiceAnswer: status.noteService, signal: stopped.signal
      })
      if (stopped.signal.aborted) return
      await offerGathered(heads)
      if (heads.length > 0) break
      await wait(clock, GATHER_RETRY_MS * (0.5 + random.next()), stopped.signal)
    }
    isGathering = false
    watch.start()
  }

  const noteMembers = (): void => {
    const members = options.members()
    const present = new Set(members.map(({ nodeId }) => nodeId))
    for (const nodeId of heldBy.keys()) if (!present.has(nodeId)) heldBy.delete(nodeId)
    plan = planConfigurationReads({ selfId: settings.nodeId, zone: settings.zone, members })
    watch.setWatching(plan.watch)
  }

  const head = (): PeerHead | null => {
    const inForce = state.adopted()
    const bytes = state.headBytes()
    return inForce && bytes
      ? { restoreCount: inForce.order.restoreCount, revision: inForce.order.revision, bytesBase64: Buffer.from(bytes).toString('base64') }
      : null
  }

  const values = (hashes: readonly string[]): PeerValue[] => {
    const given: PeerValue[] = []
    let size = 0
    for (const hash of hashes) {
      const bytes = state.valueBytes(hash)
      if (!bytes) continue
      size += bytes.length
      if (given.length > 0 && size > VALUES_BYTES_MAX) break
      given.push({ hash, bytesBase64: Buffer.from(bytes).toString('base64') })
    }
    return given
  }

  return {
    start: () => { gather() },
    noteMembers,
    noteSeen,
    adopted: state.adopted,
    isWatcher: () => plan.watch,
    head,
    values,
    report: () => status.report(state.adopted()?.order),
    stop: () => {
      stopped.abort()
      fetcher.stop()
      watch.stop()
    }
  }
}
