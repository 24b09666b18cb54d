/**
 * Fleet runtime for a platform that publishes configuration and targets in one
 * store. One node of each availability zone follows the store, and the others
 * follow nodes. A node without contact to the store pulls the state from a
 * random peer. Nodes discover each other through seeds and then by gossip.
 */
import { alignedDelayMs } from '@wisteriavalve/common'
import { buildZoneEntryAnswer, chooseStoreSource, compareStorePositions, createChangeLog, createPublishedState, fromAnnouncedHash, fromSentChanges, toAnnouncedHash, toSentChanges, type PublishedConfiguration, type PublishedStateView, type StorePosition } from '@wisteriavalve/fleet'
import type { ProbeResult } from '@wisteriavalve/policy'
import type { EntryAnswer, MemberUpdate, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { openGossipSocket, type OpenGossipSocket } from '../adapters/gossip-udp.js'
import { createPeerAuth, type PeerAuth } from '../adapters/peer-auth.js'
import { createPeerClients, type PeerClients } from '../adapters/peer-client.js'
import { openPeerServer, type OpenPeerServer, type PeerServer } from '../adapters/peer-rpc.js'
import type { ActiveConfiguration, DaemonContext, FleetRuntime, PeerSource, ServiceTargets } from '../types.js'
import { createFleetQueries, createMemberReporter } from './fleet-reports.js'
import { createGossipDriver } from './gossip-driver.js'
import { createListeners } from './listeners.js'
import { entryZones, findUnknownRegions, type EntryCaller } from './route-zones.js'
import { openPeerAddresses } from './open-peer-addresses.js'
import { createPermits } from './permits.js'
import { toActiveConfiguration } from './published-configuration.js'
import { createCatchUp } from './catch-up.js'
import { createConfigurationNews } from './configuration-news.js'
import { createEvacuationReporter } from './evacuation-reports.js'
import { createChangeWaiters } from './change-waiters.js'
import { createPeerPulls } from './peer-pulls.js'
import { createPeerWatch, withRestoreCount, type ChangesQuery, type PeerChanges, type PublishedQuery, type PublishedUpdate } from './peer-watch.js'
import { createSuspectSync } from './suspect-sync.js'
import { createStoreFollower, type PlatformStore, type FollowedPeer, type StoreChanges } from './store-follower.js'

/** How a node reaches other nodes; a simulation passes its own. */
export type PeerNetwork = {
  createClients: (auth: PeerAuth) => PeerClients
  openServer: OpenPeerServer
  openGossipSocket: OpenGossipSocket
}

const PEER_NETWORK: PeerNetwork = { createClients: createPeerClients, openServer: openPeerServer, openGossipSocket }

export type StoreFleetOptions = {
  store: PlatformStore
  /** Time after which the store removes the entry of a target that has stopped renewing it. */
  targetLeaseMs: number
  /** First nodes to contact; read repeatedly, because seeds may become available late and may change. */
  seeds: () => readonly VmEntry[]
  network?: PeerNetwork
}

/** Interval of time-driven work: reading the seeds and expiring targets that are kept for a grace period. */
const MAINTENANCE_INTERVAL_MS = 250
/** Age of the news of a node whose sources read the store: a watch at the store and some calls between nodes. */
const FRESH_AGE_MAX_MS = 1_000
/** Value of the log field `source` for changes that only time has caused. */
const TIME_SOURCE = 'time'
const DEFAULT_ENTRY_LIFETIME_MS = 1_000
const ENTRY_ADDRESSES_MAX = 64
/** Number of reads whose changes are kept for peers that follow this node. */
const CHANGE_LOG_ENTRIES = 256
/** Time for which a peer is not followed after a failed call. */
const UNREACHABLE_PEER_EXCLUSION_MS = 3_000
/** Time for which a node does not read the store in place of a watcher after the store did not answer it. */
const FAILED_STORE_EXCLUSION_MS = 2_000
/** Time for which a peer is not followed after it reported no contact with the store. */
const BEHIND_PEER_EXCLUSION_MS = 1_000

export const createStoreFleet = (context: DaemonContext, { store, targetLeaseMs, seeds, network = PEER_NETWORK }: StoreFleetOptions): FleetRuntime => {
  const { clock, random, settings, log } = context
  const { zoneRegions = {} } = settings
  const auth = createPeerAuth(settings.fleet, settings.fleetKey)
  const clients = network.createClients(auth)
  const state = createPublishedState({ targetLeaseMs })
  const changeLog = createChangeLog(CHANGE_LOG_ENTRIES)
  const waiters = createChangeWaiters(clock)
  const excludedUntilMs = new Map<string, number>()
  const onConfiguration = createListeners<[ActiveConfiguration]>()
  const onTargets = createListeners<[string, ServiceTargets]>()
  const onEvacuations = createListeners<[ReadonlySet<string>]>()
  const onNotes = createListeners<[TargetNote[]]>()
  const onProbe = createListeners<[string, string, ProbeResult]>()
  let activeConfiguration: ActiveConfiguration | undefined
  /** Position at the last change of the evacuated zones. */
  let evacuationPosition: StorePosition | undefined
  let adoptedMs: number | undefined
  let peerServer: PeerServer | undefined
  let peerSource: PeerSource | undefined
  let cancelMaintenance = (): void => {}
  let isStopped = false

  /** -1 before the first configuration. */
  const configurationVersion = (): number => state.configuration()?.version ?? -1
  const news = createConfigurationNews({ clock, version: configurationVersion, follower: () => follower })
  const members = (): MemberUpdate[] => gossip.membership()?.members() ?? []
  const peers = (): MemberUpdate[] => members().filter(({ nodeId }) => nodeId !== settings.nodeId)
  const permits = createPermits({ context, members, clients, hasSeeds: () => seeds().length > 0 })
  const suspectSync = createSuspectSync({ clock, random, peers, clients, onNotes: onNotes.emit })
  const reportMember = createMemberReporter(context)
  const reportEvacuations = createEvacuationReporter(log)

  const logAdopted = ({ version, routes }: PublishedConfiguration, source: string): void => log('configuration_adopted', {
    revision: version,
    store_revision: state.position().revision,
    restore_count: state.position().restoreCount,
    source,
    routes: routes.length,
    ...news.describeAdoption(version),
    members: members().length
  })

  /** @param source logged origin of the change: the store, a peer's node id, or time for time-driven changes */
  const publish = (source: string): void => {
    const changes = state.takeChanges(clock.nowMs())
    // Before the configuration, with which the node begins to serve.
    if (changes.evacuatedZones) {
      reportEvacuations(changes.evacuatedZones, state.view(), source)
      onEvacuations.emit(changes.evacuatedZones)
      // What a node reads at its start is no news to others.
      if (activeConfiguration && source !== TIME_SOURCE) evacuationPosition = state.position()
    }
    if (changes.configuration) {
      activeConfiguration = toActiveConfiguration(changes.configuration, settings)
      adoptedMs = clock.nowMs()
      logAdopted(changes.configuration, source)
      for (const unknown of findUnknownRegions(changes.configuration.routes, zoneRegions)) log('route_region_unknown', unknown)
      onConfiguration.emit(activeConfiguration)
    }
    if (activeConfiguration && (changes.configuration || changes.evacuatedZones)) {
      gossip.membership()?.setConfiguration({ ...activeConfiguration.order, headHash: toAnnouncedHash(evacuationPosition) })
    }
    for (const [service, targets] of changes.targets) {
      gossip.learnTargets(service, targets)
      onTargets.emit(service, targets)
    }
  }

  const logIgnored = ({ restoreCount, revision }: StorePosition, source: string): void => {
    const current = state.position()
    log('store_read_ignored', { revision, restore_count: restoreCount, store_revision: current.revision, store_restore_count: current.restoreCount, source })
  }

  const logRestore = (previous: StorePosition, { restoreCount, revision }: StorePosition, source: string): void =>
    log('store_restored', { revision, restore_count: restoreCount, previous_revision: previous.revision, previous_restore_count: previous.restoreCount, source })

  const applySnapshot = (view: PublishedStateView, source: string): void => {
    const previous = state.position()
    if (compareStorePositions(view, previous) < 0) logIgnored(view, source)
    if (view.restoreCount > previous.restoreCount && previous.revision > 0) logRestore(previous, view, source)
    state.applyAll(view, clock.nowMs())
    changeLog.restart(state.position())
    publish(source)
    waiters.notify()
  }

  /** Ignores changes up to the current position, because several sources deliver the same changes. */
  const applyChanges = ({ restoreCount, revision, changes }: StoreChanges, source: string): void => {
    const position = { restoreCount, revision }
    if (compareStorePositions(position, state.position()) <= 0) {
      logIgnored(position, source)
      return
    }
    for (const change of changes) {
      if (change.type === 'target') log('target_listed', { service: change.target.service, target: change.target.id, state: change.target.state, store_revision: revision, source })
      else if (change.type === 'target-removed') log('target_unlisted', { target: change.targetId, store_revision: revision, source })
    }
    state.applyChanges(position, changes, clock.nowMs())
    changeLog.add(position, changes)
    publish(source)
    waiters.notify()
  }

  let turn = 0
  let storeExcludedUntilMs = -Infinity

  const nextSource = (): 'store' | 'none' | FollowedPeer => {
    const currentMembers = members()
    const source = chooseStoreSource({
      view: { selfId: settings.nodeId, zone: settings.zone, members: currentMembers },
      isStoreEligible: storeExcludedUntilMs <= clock.nowMs(),
      isEligible: nodeId => (excludedUntilMs.get(nodeId) ?? -Infinity) <= clock.nowMs(),
      turn: turn++,
      random
    })
    if (source.type !== 'peer') return source.type
    const peer = currentMembers.find(({ nodeId }) => nodeId === source.nodeId) as MemberUpdate
    return {
      nodeId: peer.nodeId,
      watch: createPeerWatch(clients, peer, clock),
      reportFailure: ({ kind, message }) => {
        excludedUntilMs.set(peer.nodeId, clock.nowMs() + (kind === 'behind' ? BEHIND_PEER_EXCLUSION_MS : UNREACHABLE_PEER_EXCLUSION_MS))
        log('peer_unreachable', { member: peer.nodeId, message })
        waiters.notify()
      }
    }
  }

  /** Responds to the long poll of a peer that follows this node, without waiting if changes are pending for it, or if it needs another source. */
  const handleChangesQuery = async ({ restoreCount = state.position().restoreCount, afterRevision, waitMs }: ChangesQuery): Promise<PeerChanges> => {
    const after = { restoreCount, revision: afterRevision }
    const canAnswer = (): boolean => follower.canBeFollowed() && state.position().restoreCount >= after.restoreCount
    if (!canAnswer()) return { state: 'behind' }
    if (compareStorePositions(state.position(), after) <= 0) await waiters.wait(waitMs)
    if (!canAnswer()) return { state: 'behind' }
    const changes = changeLog.since(after)
    const ageMs = follower.ageMs()
    return changes ? { state: 'current', ...state.position(), ...toSentChanges(changes), ageMs } : { state: 'restart', view: state.view(), ageMs }
  }

  const follower = createStoreFollower({
    context,
    store,
    source: nextSource,
    knownPosition: state.position,
    onSnapshot: applySnapshot,
    onChanges: applyChanges,
    onStoreFailed: () => { storeExcludedUntilMs = clock.nowMs() + FAILED_STORE_EXCLUSION_MS },
    onDisconnected: () => {
      state.recordStoreUnreachable()
      waiters.notify()
    },
    onReconnected: () => state.recordStoreReachable(clock.nowMs())
  })

  const gossip = createGossipDriver(context, {
    onMember: (member, previous) => {
      reportMember(member, previous)
      if (previous === 'dead') suspectSync.hurry()
    },
    onNotes: notes => onNotes.emit(notes),
    onConfigurationSeen: (from, order) => {
      evacuationCatchUp.recordSeen(from, fromAnnouncedHash(order.headHash))
      if (order.revision <= configurationVersion()) return
      news.recordHeard(order.revision)
      catchUp.recordSeen(from, order.revision)
    }
  }, network.openGossipSocket)

  const updateFor = ({ restoreCount = state.position().restoreCount, revision, configurationVersion: peerVersion = Infinity }: PublishedQuery): PublishedUpdate | null => {
    const configuration = state.configuration()
    if (!configuration) return null
    const position = { restoreCount, revision }
    if (compareStorePositions(state.position(), position) <= 0) return configuration.version > peerVersion ? { state: 'configuration', configuration } : null
    const changes = changeLog.since(position)
    return changes ? { state: 'changes', ...state.position(), ...toSentChanges(changes) } : { state: 'whole', view: state.view() }
  }

  const applyUpdate = (update: PublishedUpdate, source: string): void => {
    const { restoreCount } = state.position()
    if (update.state === 'changes') applyChanges({ ...withRestoreCount(update, restoreCount), changes: fromSentChanges(update) }, source)
    else if (update.state === 'whole') applySnapshot(withRestoreCount(update.view, restoreCount), source)
    else {
      state.offerConfiguration(update.configuration)
      publish(source)
    }
  }

  const pulls = createPeerPulls({
    context,
    peers,
    clients,
    query: () => ({ ...state.position(), configurationVersion: configurationVersion() }),
    onUpdate: (update, peerId) => { if (!isStopped) applyUpdate(update, peerId) }
  })

  const catchUpOptions = {
    clock,
    isStale: () => follower.isDisconnected() || follower.ageMs() > FRESH_AGE_MAX_MS,
    pullFrom: pulls.pullFrom
  }
  const catchUp = createCatchUp<number>({ ...catchUpOptions, isBehind: version => version > configurationVersion() })
  const evacuationCatchUp = createCatchUp<StorePosition>({ ...catchUpOptions, isBehind: position => compareStorePositions(position, state.position()) > 0 })

  const runMaintenance = (): void => {
    gossip.addCandidates(seeds())
    if (follower.isDisconnected()) pulls.pullFromAny()
    publish(TIME_SOURCE)
    cancelMaintenance = clock.after(alignedDelayMs(clock.nowMs(), MAINTENANCE_INTERVAL_MS), runMaintenance)
  }

  const start = async (source: PeerSource): Promise<void> => {
    peerSource = source
    peerServer = await openPeerAddresses(settings.peerListen, auth, {
      head: () => null,
      values: () => [],
      vmList: () => null,
      published: updateFor,
      changes: handleChangesQuery,
      permit: permits.issue,
      ...source
    }, gossip, network.openServer)
    follower.start()
    suspectSync.start()
    runMaintenance()
  }

  const entryAnswer = (caller: EntryCaller = {}): EntryAnswer => buildZoneEntryAnswer(members(), {
    zone: caller.zone,
    zones: entryZones(activeConfiguration?.routes ?? [], zoneRegions, caller),
    addressesMax: ENTRY_ADDRESSES_MAX,
    lifetimeMs: activeConfiguration?.settings.entryLifetimeMs ?? DEFAULT_ENTRY_LIFETIME_MS
  })

  return {
    start,
    onConfiguration: onConfiguration.add,
    onTargets: onTargets.add,
    onEvacuations: onEvacuations.add,
    onNotes: onNotes.add,
    onProbe: onProbe.add,
    setLastResponseSource: () => undefined,
    requestPermit: permits.request,
    shareNotes: notes => gossip.membership()?.queueNotes(notes, clock.nowMs()),
    setLoadPercent: loadPercent => gossip.membership()?.setLoadPercent(loadPercent),
    entryAnswer,
    members,
    configuration: () => activeConfiguration,
    configurationStatus: () => ({
      ...(activeConfiguration && { order: activeConfiguration.order }),
      state: !activeConfiguration ? 'none' : follower.canBeFollowed() ? 'current' : 'service-unreachable',
      reason: news.describeDoubt()
    }),
    ...createFleetQueries({ nodeId: settings.nodeId, source: () => peerSource, peers, clients }),
    leave: gossip.leave,
    resumeAfterPause: gapMs => {
      gossip.resumeAfterPause(gapMs)
      suspectSync.hurry()
    },
    counters: () => ({
      ...gossip.counters(),
      ...permits.counters(),
      store_calls: store.callCount(),
      peer_calls: clients.callCount()
    }),
    gauges: () => ({
      ...(Number.isFinite(follower.ageMs()) && { store_age_ms: Math.round(follower.ageMs()) }),
      store_revision: state.position().revision,
      store_restore_count: state.position().restoreCount,
      evacuated_zones: state.evacuatedZones().size,
      configuration_version: state.configuration()?.version ?? 0,
      configuration_heard_version: news.newestVersion(),
      ...(adoptedMs !== undefined && { configuration_age_ms: Math.round(clock.nowMs() - adoptedMs) })
    }),
    stop: async () => {
      isStopped = true
      cancelMaintenance()
      catchUp.stop()
      evacuationCatchUp.stop()
      suspectSync.stop()
      follower.stop()
      await Promise.all([gossip.stop(), peerServer?.close(), clients.close(), store.close()])
    }
  }
}
