/**
 * Connects membership to the gossip socket: drives its ticks, sends and
 * receives datagrams, and counts rejected ones. A datagram is sent in the same
 * turn of the event loop in which membership requested it.
 */
import { alignedDelayMs } from '@wisteriavalve/common'
import {
  createMembership, createReplayGuard, createWireNames, PAUSE_GAP_MS, SERVICE_BYTES_MAX, TARGET_ID_BYTES_MAX, ZONE_BYTES_MAX, type GossipAddress, type Membership, type MembershipAction
} from '@wisteriavalve/fleet'
import type { ConfigurationOrder, MemberState, MemberUpdate, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { openGossipSocket, type GossipSocket, type OpenGossipSocket } from '../adapters/gossip-udp.js'
import type { DaemonContext, ServiceTargets } from '../types.js'
import { createDatagramCodec, type Datagram, type RejectionReason } from './datagram-codec.js'

export type GossipHandlers = {
  onMember: (member: MemberUpdate, previous: MemberState | undefined) => void
  onNotes: (notes: TargetNote[]) => void
  onConfigurationSeen: (from: string, order: ConfigurationOrder) => void
}

export type GossipDriver = {
  /** Binds the socket and starts the ticks. */
  start: (ports: { peerPort: number }) => Promise<void>
  membership: () => Membership | undefined
  addCandidates: (vms: readonly VmEntry[]) => void
  /** To be called with the targets that the platform lists, whose names messages may hold in a short form. */
  learnTargets: (service: string, targets: ServiceTargets) => void
  leave: () => void
  resumeAfterPause: (gapMs: number) => void
  counters: () => Record<string, number>
  stop: () => Promise<void>
}

const TICK_MS = 100
const REJECTION_LOG_INTERVAL_MS = 10_000
/** Time after a process pause within which the datagrams arrive that the socket buffered during the pause. */
const BACKLOG_WINDOW_MS = 50
/** Number of random values in a boot id, which distinguish two starts within the same ms. */
const BOOT_ID_FACTOR = 1000

/** Datagrams that were dropped, and entries of datagrams that were left out. */
type Rejection = RejectionReason | 'malformed-entry'

const createRejectionLog = (context: DaemonContext) => {
  const counts = new Map<Rejection, number>()
  const unloggedCounts = new Map<Rejection, number>()
  let nextLogMs = -Infinity
  const record = (reason: Rejection, count = 1): void => {
    counts.set(reason, (counts.get(reason) ?? 0) + count)
    unloggedCounts.set(reason, (unloggedCounts.get(reason) ?? 0) + count)
    if (context.clock.nowMs() < nextLogMs) return
    nextLogMs = context.clock.nowMs() + REJECTION_LOG_INTERVAL_MS
    context.log('gossip_rejected', Object.fromEntries([...unloggedCounts].map(([name, count]) => [name.replaceAll('-', '_'), count])))
    unloggedCounts.clear()
  }
  return { record, counts }
}

const selfUpdate = ({ settings }: DaemonContext, gossipPort: number, peerPort: number): MemberUpdate => ({
  nodeId: settings.nodeId,
  // After a restart within the same second, refutation raises the incarnation.
  incarnation: Math.floor(Date.now() / 1000),
  state: 'alive',
  zone: settings.zone,
  host: settings.advertiseHost,
  callerPort: settings.advertiseCallerPort ?? settings.callerListen.port,
  gossipPort: settings.advertiseGossipPort ?? gossipPort,
  peerPort: settings.advertisePeerPort ?? peerPort,
  loadPercent: 0
})

export const createGossipDriver = (context: DaemonContext, handlers: GossipHandlers, openSocket: OpenGossipSocket = openGossipSocket): GossipDriver => {
  const { clock, random, settings } = context
  const names = createWireNames()
  for (const zone of [settings.zone, ...Object.keys(settings.zoneRegions ?? {})]) names.learn(zone, ZONE_BYTES_MAX)
  const codec = createDatagramCodec({
    fleet: settings.fleet, fleetKey: settings.fleetKey, nodeId: settings.nodeId, bootId: Date.now() * BOOT_ID_FACTOR + random.int(BOOT_ID_FACTOR), names
  })
  const replayGuard = createReplayGuard()
  const rejections = createRejectionLog(context)
  const counters = { gossip_sent: 0, gossip_sent_bytes: 0, gossip_received: 0, gossip_received_bytes: 0 }
  let socket: GossipSocket | undefined
  let membership: Membership | undefined
  let cancelTick = (): void => {}
  let lastTickMs = 0
  let backlogEndMs = -Infinity
  let sequence = 0

  const applyActions = (actions: readonly MembershipAction[], datagram?: Datagram): void => {
    for (const action of actions) {
      if (action.type === 'send') {
        const bytes = codec.encode(action.message, sequence++)
        counters.gossip_sent++
        counters.gossip_sent_bytes += bytes.length
        socket?.send(bytes, action.to)
      } else if (action.type === 'member-changed') handlers.onMember(action.member, action.previous)
      else if (action.type === 'notes-received') handlers.onNotes(action.notes)
      else if (action.type === 'configuration-seen') handlers.onConfigurationSeen(action.from, action.order)
      else if (action.type === 'member-forgotten') replayGuard.forget(action.nodeId)
      else if (datagram) replayGuard.verify(datagram.from, datagram.bootId, datagram.sequence)
    }
  }

  const isBacklog = (nowMs: number): boolean => nowMs - lastTickMs > PAUSE_GAP_MS || nowMs < backlogEndMs

  const onDatagram = (bytes: Uint8Array, from: GossipAddress): void => {
    counters.gossip_received++
    counters.gossip_received_bytes += bytes.length
    const nowMs = clock.nowMs()
    if (isBacklog(nowMs)) return rejections.record('late')
    const decoded = codec.decode(bytes)
    if (!decoded.ok) return rejections.record(decoded.error)
    const { value } = decoded
    if (value.malformedEntries > 0) rejections.record('malformed-entry', value.malformedEntries)
    const freshness = replayGuard.accept(value.from, value.bootId, value.sequence)
    if (freshness === 'replayed') return rejections.record('replayed')
    applyActions(membership?.receive(value.message, from, nowMs, freshness === 'verified') ?? [], value)
  }

  const tick = (): void => {
    const nowMs = clock.nowMs()
    if (nowMs - lastTickMs > PAUSE_GAP_MS) backlogEndMs = nowMs + BACKLOG_WINDOW_MS
    lastTickMs = nowMs
    applyActions(membership?.tick(nowMs) ?? [])
    cancelTick = clock.after(alignedDelayMs(clock.nowMs(), TICK_MS), tick)
  }

  const start = async ({ peerPort }: { peerPort: number }): Promise<void> => {
    socket = await openSocket(settings.gossipListen, onDatagram)
    membership = createMembership({ self: selfUpdate(context, socket.port, peerPort), random, sizeBytes: codec.sizeBytes })
    lastTickMs = clock.nowMs()
    tick()
  }

  return {
    start,
    membership: () => membership,
    addCandidates: vms => applyActions(membership?.applyVmList(vms, clock.nowMs()) ?? []),
    learnTargets: (service, { targets }) => {
      names.learn(service, SERVICE_BYTES_MAX)
      for (const { id, zone } of targets) {
        names.learn(id, TARGET_ID_BYTES_MAX)
        if (zone !== undefined) names.learn(zone, ZONE_BYTES_MAX)
      }
    },
    leave: () => applyActions(membership?.leave(clock.nowMs()) ?? []),
    resumeAfterPause: gapMs => {
      lastTickMs = clock.nowMs()
      backlogEndMs = lastTickMs + BACKLOG_WINDOW_MS
      applyActions(membership?.resumeAfterPause(gapMs, lastTickMs) ?? [])
    },
    counters: () => ({
      ...counters,
      ...Object.fromEntries([...rejections.counts].map(([reason, count]) => [`gossip_rejected_${reason.replaceAll('-', '_')}`, count]))
    }),
    stop: async () => {
      cancelTick()
      await socket?.close()
      socket = undefined
    }
  }
}
