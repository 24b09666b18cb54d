/**
 * Fleet runtime for a platform with a configuration service and a VM list.
 * Connects membership, configuration, VM list, probes and the calls between
 * nodes with each other and with the rest of the daemon.
 */
import { buildEntryAnswer, createTargetUnion, entryCandidates } from '@wisteriavalve/fleet'
import type { ProbeResult } from '@wisteriavalve/policy'
import type { EntryAnswer, MemberState, MemberUpdate, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { shuffle } from '@wisteriavalve/common'
import { createConfigurationService } from '../adapters/configuration-service.js'
import { createPeerAuth } from '../adapters/peer-auth.js'
import { createPeerClients, type PeerAddress } from '../adapters/peer-client.js'
import type { PeerServer } from '../adapters/peer-rpc.js'
import { createVmListReader } from '../adapters/vm-list.js'
import type { ActiveConfiguration, DaemonContext, FleetRuntime, PeerSource, ServiceTargets } from '../types.js'
import { createConfigurationDriver } from './configuration-driver.js'
import { createFleetQueries, createMemberReporter } from './fleet-reports.js'
import { createGossipDriver } from './gossip-driver.js'
import { createListeners } from './listeners.js'
import { openPeerAddresses } from './open-peer-addresses.js'
import { createPermits } from './permits.js'
import { createProbeDriver } from './probe-driver.js'
import type { EntryCaller } from './route-zones.js'
import { createSuspectSync } from './suspect-sync.js'
import { createVmListDriver } from './vm-list-driver.js'

const STARTUP_PEER_COUNT = 3
/** Settings of entry answers until a configuration is in force. */
const DEFAULT_ENTRY_SETTINGS = { entryAddressCount: 4, entryLifetimeMs: 10_000 }

export const createFleetRuntime = (context: DaemonContext): FleetRuntime => {
  const { clock, random, settings } = context
  const auth = createPeerAuth(settings.fleet, settings.fleetKey)
  const clients = createPeerClients(auth)
  const service = createConfigurationService({ url: settings.configurationServiceUrl, fleet: settings.fleet })
  const vmListReader = createVmListReader(settings.vmListUrl)
  const targetUnion = createTargetUnion()
  const onConfiguration = createListeners<[ActiveConfiguration]>()
  const onTargets = createListeners<[string, ServiceTargets]>()
  const onNotes = createListeners<[TargetNote[]]>()
  const onProbe = createListeners<[string, string, ProbeResult]>()
  let lastResponseMs: (service: string, targetId: string) => number | undefined = () => undefined
  let peerServer: PeerServer | undefined
  let peerSource: PeerSource | undefined

  const members = (): MemberUpdate[] => gossip.membership()?.members() ?? []
  const peers = (): MemberUpdate[] => members().filter(({ nodeId }) => nodeId !== settings.nodeId)
  const permits = createPermits({ context, members, clients })

  const publishTargets = (): void => {
    for (const [name, targets] of targetUnion.takeChanges(clock.nowMs())) {
      probes.setTargets(name, targets)
      gossip.learnTargets(name, targets)
      onTargets.emit(name, targets)
    }
  }

  /** @param isOwn whether this node made the observations; a peer across a partition can report a running target as dead, so only own observations confirm that */
  const applyObservations = (notes: TargetNote[], isOwn: boolean): void => {
    for (const note of notes) if (isOwn || note.observation === 'answering') targetUnion.recordObservation(note)
    probes.recordObservations(notes)
    publishTargets()
  }

  const suspectSync = createSuspectSync({ clock, random, peers, clients, onNotes: onNotes.emit })
  const reportMember = createMemberReporter(context)

  const onMember = (member: MemberUpdate, previous: MemberState | undefined): void => {
    reportMember(member, previous)
    if (previous === 'dead') suspectSync.hurry()
    configuration.onMembersChanged()
  }

  const gossip = createGossipDriver(context, {
    onMember,
    onNotes: notes => {
      applyObservations(notes, false)
      onNotes.emit(notes)
    },
    onConfigurationSeen: (from, order) => configuration.onOrderAnnounced(from, order)
  })

  const onVmList = (vms: readonly VmEntry[]): void => {
    gossip.addCandidates(vms)
    const leaving = targetUnion.setVms(vms, clock.nowMs())
    // Gossip informs nodes of leaving VMs before they copy the new list.
    gossip.membership()?.queueNotes(leaving.map(vm => ({ service: vm.service as string, targetId: vm.vmId, observation: 'draining', ageMs: 0 })), clock.nowMs())
    publishTargets()
  }

  const vmList = createVmListDriver({
    context,
    reader: vmListReader,
    clients,
    isWatcher: () => configuration.isWatcher(),
    randomPeer: () => {
      const alivePeers = peers().filter(({ state }) => state === 'alive')
      const sameZonePeers = alivePeers.filter(({ zone }) => zone === settings.zone)
      const candidates = sameZonePeers.length > 0 ? sameZonePeers : alivePeers
      return candidates[random.int(Math.max(1, candidates.length))]
    },
    onList: onVmList
  })

  const startupPeers = async (): Promise<PeerAddress[]> => {
    await vmList.ready()
    const listed = vmList.vms().filter(({ role, vmId, peerPort, state }) =>
      role === 'entry' && vmId !== settings.nodeId && peerPort !== undefined && state === 'live')
    const candidates = [...listed.map(({ host, peerPort }) => ({ host, peerPort: peerPort as number })), ...peers()]
    return shuffle(candidates, random).slice(0, STARTUP_PEER_COUNT)
  }

  const configuration = createConfigurationDriver({
    context,
    service,
    clients,
    members,
    startupPeers,
    onAdopted: adopted => {
      gossip.membership()?.setConfiguration(adopted.order)
      targetUnion.setServices(adopted.services)
      probes.setConfiguration(adopted)
      onConfiguration.emit(adopted)
      publishTargets()
    }
  })

  const probes = createProbeDriver({
    context,
    lastResponseMs: (name, targetId) => lastResponseMs(name, targetId),
    onResult: (name, targetId, result) => {
      onProbe.emit(name, targetId, result)
      if (!result.ok) return
      const observation = result.state === 'draining' ? 'draining' as const : 'answering' as const
      const inFlight = result.load.inFlight
      gossip.membership()?.queueNotes([{ service: name, targetId, observation, ageMs: 0, byProbe: true, ...(inFlight !== undefined && { inFlight }) }], clock.nowMs())
    }
  })

  const shareNotes = (notes: TargetNote[]): void => {
    gossip.membership()?.queueNotes(notes, clock.nowMs())
    applyObservations(notes, true)
  }

  const start = async (source: PeerSource): Promise<void> => {
    peerSource = source
    peerServer = await openPeerAddresses(settings.peerListen, auth, {
      head: configuration.head, values: configuration.values, vmList: vmList.peerList, published: () => null, changes: async () => ({ state: 'behind' }), permit: permits.issue, ...source
    }, gossip)
    configuration.onMembersChanged()
    vmList.start()
    configuration.start()
    probes.start()
    suspectSync.start()
  }

  const entryAnswer = ({ zone }: EntryCaller = {}): EntryAnswer =>
    buildEntryAnswer({ members: entryCandidates(members(), vmList.vms()), settings: configuration.adopted()?.settings ?? DEFAULT_ENTRY_SETTINGS }, { zone }, random)

  const counters = (): Record<string, number> => ({
    ...gossip.counters(),
    ...probes.counters(),
    ...permits.counters(),
    configuration_service_reads: service.readCount(),
    vm_list_reads: vmListReader.readCount(),
    peer_calls: clients.callCount(),
    peer_bytes_received: clients.bytesReceived(),
    peer_bytes_sent: peerServer?.bytesSent() ?? 0,
    peer_rejected: peerServer?.rejectedCount() ?? 0
  })

  const stop = async (): Promise<void> => {
    configuration.stop()
    vmList.stop()
    suspectSync.stop()
    await Promise.all([gossip.stop(), probes.stop(), peerServer?.close(), clients.close(), service.close(), vmListReader.close()])
  }

  return {
    start,
    onConfiguration: onConfiguration.add,
    onEvacuations: () => undefined,
    onTargets: onTargets.add,
    onNotes: onNotes.add,
    onProbe: onProbe.add,
    setLastResponseSource: source => { lastResponseMs = source },
    requestPermit: permits.request,
    shareNotes,
    setLoadPercent: loadPercent => gossip.membership()?.setLoadPercent(loadPercent),
    entryAnswer,
    members,
    configuration: configuration.adopted,
    configurationStatus: configuration.report,
    ...createFleetQueries({ nodeId: settings.nodeId, source: () => peerSource, peers, clients }),
    leave: gossip.leave,
    resumeAfterPause: gapMs => {
      gossip.resumeAfterPause(gapMs)
      probes.resumeAfterPause(gapMs)
      suspectSync.hurry()
    },
    counters,
    gauges: () => {
      const order = configuration.adopted()?.order
      return { ...(order && { configuration_version: order.revision }) }
    },
    stop
  }
}
