/**
 * Fetches and adopts configurations. Collects heads at the start, watches the
 * configuration service if this node is a watcher, pulls heads that peers
 * announce by gossip, and fetches the values of new heads.
 */
import {
  compareOrder, createConfigurationState, isHeadConflict, planConfigurationReads, restoreCountOf,
  type AdoptedConfiguration, type ConfigurationStep, type HeadCandidate
} from '@wisteriavalve/fleet'
import type { ConfigurationOrder, MemberUpdate } from '@wisteriavalve/schema'
import { sha256Hex, type Result } from '@wisteriavalve/common'
import type { ConfigurationService, HeadRead } from '../adapters/configuration-service.js'
import { describeError } from '../adapters/http-json.js'
import type { PeerAddress, PeerClients } from '../adapters/peer-client.js'
import { VALUES_BYTES_MAX, type PeerHead, type PeerValue } from '../adapters/peer-rpc.js'
import type { DaemonContext } from '../types.js'
import { createConfigurationStatus, type ConfigurationReport } from './configuration-status.js'
import { createReadLimiter } from './read-limiter.js'
import { createServiceWatch } from './service-watch.js'
import { fetchPeerHead, collectHeads } from './startup-heads.js'
import { createValueFetcher, sortHoldersFirst } from './value-fetcher.js'
import { wait } from './wait.js'

export type ConfigurationDriverOptions = {
  context: DaemonContext
  service: ConfigurationService
  clients: PeerClients
  members: () => MemberUpdate[]
  /** Peers to query for a head at the start. */
  startupPeers: () => Promise<PeerAddress[]>
  onAdopted: (configuration: AdoptedConfiguration) => void
}

export type ConfigurationDriver = {
  start: () => void
  /** To be called on each change of the members. */
  onMembersChanged: () => void
  onOrderAnnounced: (from: string, order: ConfigurationOrder) => void
  adopted: () => AdoptedConfiguration | undefined
  isWatcher: () => boolean
  head: () => PeerHead | null
  values: (hashes: readonly string[]) => PeerValue[]
  report: () => ConfigurationReport
  stop: () => void
}

/** Time within which the values of the newest initial head must be complete; after it, the older heads are tried as well. */
const NEWEST_HEAD_TIMEOUT_MS = 2000
const COLLECT_RETRY_MS = 1000
/** Minimum interval between two pulls of the same announced order from the same peer. */
const PULL_RETRY_MS = 1000

export const createConfigurationDriver = (options: ConfigurationDriverOptions): ConfigurationDriver => {
  const { context, service, clients } = options
  const { clock, random, settings } = context
  const state = createConfigurationState({ fleet: settings.fleet, services: settings.services })
  const status = createConfigurationStatus(context)
  const readLimiter = createReadLimiter(clock)
  const stopController = new AbortController()
  const announcedOrders = new Map<string, ConfigurationOrder>()
  const activePulls = new Set<string>()
  let isStarting = true
  let isReadingServiceHead = false
  let readPlan = planConfigurationReads({ selfId: settings.nodeId, zone: settings.zone, members: [] })

  /** Catches errors of the request path, because they must not end the loops that fetch a corrected configuration. */
  const applyConfiguration = (configuration: AdoptedConfiguration): void => {
    try {
      options.onAdopted(configuration)
    } catch (error) {
      status.recordRejected({ code: 'value-invalid', message: `applying it failed: ${describeError(error)}` })
    }
  }

  const applyStep = (step: ConfigurationStep, source: HeadCandidate['source']): void => {
    if (step.step === 'rejected') status.recordRejected(step.fault)
    if (step.step === 'fetch') fetcher.start(source)
    if (step.step !== 'adopted') return
    readLimiter.setEntryVmCountMax(step.configuration.settings.entryVmCountMax)
    status.recordAdopted(step.configuration)
    applyConfiguration(step.configuration)
  }

  /** Order of the configuration whose values are being fetched. */
  const wantedOrder = (): ConfigurationOrder | undefined => state.pendingOrders()[0]

  const isHolder = (nodeId: string): boolean => {
    const announced = announcedOrders.get(nodeId)
    const order = wantedOrder()
    return announced !== undefined && order !== undefined && compareOrder(announced, order) >= 0
  }

  const fetcher = createValueFetcher({
    clock,
    random,
    state,
    service,
    readLimiter,
    clients,
    peers: () => sortHoldersFirst(readPlan.pullFrom, isHolder),
    onStep: step => applyStep(step, 'peer')
  })

  const offerHead = (candidate: HeadCandidate): ConfigurationStep => {
    const step = state.offerHead(candidate)
    applyStep(step, candidate.source)
    return step
  }

  const rejectHeadConflict = (order: ConfigurationOrder): void => {
    const adoptedOrder = state.adopted()?.order
    if (!adoptedOrder || !isHeadConflict(order, adoptedOrder)) return
    status.recordRejected({ code: 'value-invalid', message: `the configuration service returned different bytes for revision ${order.revision}, which is already in force` })
  }

  const onServiceRead = (read: Result<HeadRead, string>): void => {
    status.recordServiceRead(read.ok ? undefined : read.error)
    if (!read.ok) return
    const { head } = read.value
    if (!head) {
      status.recordServiceBehind(state.adopted() && 'it stores no head')
      return
    }
    const restoreCount = restoreCountOf(head.bytes)
    const step = offerHead({ restoreCount, revision: head.revision, bytes: head.bytes, source: 'service' })
    const order = { restoreCount, revision: head.revision, headHash: sha256Hex(head.bytes) }
    const isBehind = step.step === 'ignored' && step.reason === 'older'
    rejectHeadConflict(order)
    status.recordServiceBehind(isBehind ? `its head is ${restoreCount}/${head.revision}` : undefined)
  }

  const serviceWatch = createServiceWatch({
    clock, random, service, readLimiter, memberCount: () => options.members().length, onRead: onServiceRead
  })

  const isNewer = (order: ConfigurationOrder): boolean => {
    const adoptedOrder = state.adopted()?.order
    return (!adoptedOrder || compareOrder(order, adoptedOrder) > 0) && !state.pendingOrders().some(other => compareOrder(order, other) <= 0)
  }

  const pullHead = async (peer: MemberUpdate, order: ConfigurationOrder): Promise<void> => {
    const key = `${peer.nodeId}/${order.restoreCount}/${order.revision}`
    if (activePulls.has(key)) return
    activePulls.add(key)
    const candidate = await fetchPeerHead(clients, peer)
    if (candidate && !stopController.signal.aborted) offerHead(candidate)
    await wait(clock, PULL_RETRY_MS * (1 + random.next()), stopController.signal)
    activePulls.delete(key)
    if (!candidate) await readServiceHead(order)
  }

  /** Reads the head from the service when a peer announced an order but the call to it failed. */
  const readServiceHead = async (order: ConfigurationOrder): Promise<void> => {
    if (isReadingServiceHead || stopController.signal.aborted || !isNewer(order)) return
    isReadingServiceHead = true
    await readLimiter.acquire(stopController.signal)
    const read = await service.readHead(0, stopController.signal)
    if (!stopController.signal.aborted) onServiceRead(read)
    isReadingServiceHead = false
  }

  const onOrderAnnounced = (from: string, order: ConfigurationOrder): void => {
    announcedOrders.set(from, order)
    if (isStarting || !isNewer(order)) return
    const peer = options.members().find(({ nodeId }) => nodeId === from)
    if (peer) pullHead(peer, order)
  }

  const offerInitialHeads = async (heads: readonly HeadCandidate[]): Promise<void> => {
    const [newest, ...older] = heads
    if (!newest) return
    offerHead(newest)
    const endMs = clock.nowMs() + NEWEST_HEAD_TIMEOUT_MS
    while (!state.adopted() && older.length > 0 && clock.nowMs() < endMs && !stopController.signal.aborted) await wait(clock, 20, stopController.signal)
    if (!state.adopted()) for (const head of older) offerHead(head)
  }

  const adoptInitialConfiguration = async (): Promise<void> => {
    while (!stopController.signal.aborted && !state.adopted()) {
      const heads = await collectHeads({
        clock, random, service, readLimiter, clients, peers: options.startupPeers, onServiceRead: status.recordServiceRead, signal: stopController.signal
      })
      if (stopController.signal.aborted) return
      await offerInitialHeads(heads)
      if (heads.length > 0) break
      await wait(clock, COLLECT_RETRY_MS * (0.5 + random.next()), stopController.signal)
    }
    isStarting = false
    serviceWatch.start()
  }

  const onMembersChanged = (): void => {
    const members = options.members()
    const present = new Set(members.map(({ nodeId }) => nodeId))
    for (const nodeId of announcedOrders.keys()) if (!present.has(nodeId)) announcedOrders.delete(nodeId)
    readPlan = planConfigurationReads({ selfId: settings.nodeId, zone: settings.zone, members })
    serviceWatch.setWatching(readPlan.isWatcher)
  }

  const head = (): PeerHead | null => {
    const adopted = state.adopted()
    const bytes = state.headBytes()
    return adopted && bytes
      ? { restoreCount: adopted.order.restoreCount, revision: adopted.order.revision, bytesBase64: Buffer.from(bytes).toString('base64') }
      : null
  }

  const values = (hashes: readonly string[]): PeerValue[] => {
    const found: PeerValue[] = []
    let sizeBytes = 0
    for (const hash of hashes) {
      const bytes = state.valueBytes(hash)
      if (!bytes) continue
      sizeBytes += bytes.length
      if (found.length > 0 && sizeBytes > VALUES_BYTES_MAX) break
      found.push({ hash, bytesBase64: Buffer.from(bytes).toString('base64') })
    }
    return found
  }

  return {
    start: () => { adoptInitialConfiguration() },
    onMembersChanged,
    onOrderAnnounced,
    adopted: state.adopted,
    isWatcher: () => readPlan.isWatcher,
    head,
    values,
    report: () => status.report(state.adopted()?.order),
    stop: () => {
      stopController.abort()
      fetcher.stop()
      serviceWatch.stop()
    }
  }
}
