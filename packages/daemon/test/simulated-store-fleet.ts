/**
 * Hundreds of store fleets in one process on a manual clock, with a simulated
 * network between them and a simulated store that can fail for single nodes. The
 * decisions and the messages are those of the product; only sockets are replaced.
 * Each message costs its receiver processor time, so a small VM answers late.
 */
import { createEventRecord, createManualClock, createRandom, type ManualClock, type Random } from '@wisteriavalve/common'
import type { PublishedConfiguration, StorePosition } from '@wisteriavalve/fleet'
import type { LogEventName, VmEntry } from '@wisteriavalve/schema'
import type { OpenGossipSocket } from '../src/adapters/gossip-udp.js'
import type { PeerClients } from '../src/adapters/peer-client.js'
import type { OpenPeerServer, PeerRpcSource } from '../src/adapters/peer-rpc.js'
import { createStoreFleet, type PeerNetwork } from '../src/fleet/store-fleet.js'
import type { PlatformStore, StoreChanges, StoreError } from '../src/fleet/store-follower.js'
import type { FleetRuntime } from '../src/index.js'
import { createNodeSettings } from './fleet-nodes.js'

/** silent: no response; late: a response that the network loses; busy: an error at once. */
export type StoreFault = 'none' | 'silent' | 'busy'

export type SimulatedNode = {
  id: string
  zone: string
  host: string
  runtime: FleetRuntime
  storeFault: StoreFault
  /** Processor time of a message, relative to that of a normal VM. */
  slowdown: number
  state: 'up' | 'down' | 'frozen'
  /** Versions of the configuration with the time of their adoption. */
  adopted: Array<{ atMs: number, version: number }>
  /** Time at which each zone was first evacuated at this node. */
  evacuatedMs: Map<string, number>
  logs: Array<{ atMs: number, event: LogEventName, fields: Record<string, unknown> }>
  callsAnswered: number
  datagramsReceived: number
  /** Time until which messages that have arrived keep the processor busy. */
  busyUntilMs: number
  onDatagram?: Parameters<OpenGossipSocket>[1]
  peerSource?: PeerRpcSource
}

export type SimulatedStoreFleet = {
  clock: ManualClock
  nodes: SimulatedNode[]
  publish: () => number
  evacuate: (zone: string) => void
  run: (durationMs: number) => Promise<void>
  storeCallCount: () => number
  stop: () => Promise<void>
}

export type SimulatedStoreFleetOptions = {
  nodeCount: number
  zones: readonly string[]
  seed: number
  /** Number of nodes whose addresses all nodes are given at their start; all by default. */
  seedCount?: number
  /** Share of datagrams that are lost. */
  datagramLoss?: number
}

const STEP_MS = 5
const PORTS = { gossip: 1, peer: 2 }
const LATENCY_MS = 1
const CROSS_ZONE_LATENCY_MS = 2
const STORE_LATENCY_MS = 5
/** Processor time of messages on a normal VM. */
const CALL_MS = 10
const DATAGRAM_MS = 1
const CALL_TIMEOUT_MS = 2_000
/** Time after the wait of a watch after which its response counts as lost. */
const WATCH_MARGIN_MS = 400
const READ_TIMEOUT_MS = 800

const unreachable = (message: string): { ok: false, error: StoreError } => ({ ok: false, error: { kind: 'unreachable', message } })

const createConfiguration = (version: number): PublishedConfiguration => ({
  version, restoreCount: 0, routes: [], services: [], callerBounds: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

/** The store as all nodes see it, apart from their faults. */
const createSimulatedStore = (clock: ManualClock) => {
  let version = 1
  let revision = 1
  let callCount = 0
  const evacuations: Array<{ zone: string, atRevision: number }> = []
  const pending = new Set<() => void>()

  const changesAfter = (after: StorePosition): StoreChanges => ({
    restoreCount: 0,
    revision,
    changes: after.revision >= revision
      ? []
      : [
          { type: 'configuration', configuration: createConfiguration(version) },
          ...evacuations.flatMap(({ zone, atRevision }) => atRevision > after.revision ? { type: 'evacuation' as const, zone, isActive: true } : [])
        ]
  })

  /** Calls answer once; a response is lost if the node has a fault when it leaves. */
  const clientOf = (faultOf: () => StoreFault): PlatformStore => {
    const call = <T>(timeoutMs: number, start: (respond: (value: T) => void) => void): Promise<{ ok: true, value: T } | { ok: false, error: StoreError }> => {
      callCount++
      return new Promise(resolve => {
        const settle = (result: { ok: true, value: T } | { ok: false, error: StoreError }): void => {
          cancel()
          resolve(result)
        }
        const cancel = clock.after(timeoutMs, () => settle(unreachable('no answer in time')))
        if (faultOf() === 'busy') clock.after(STORE_LATENCY_MS, () => settle(unreachable('status 503')))
        else if (faultOf() === 'none') start(value => { if (faultOf() === 'none') clock.after(STORE_LATENCY_MS, () => settle({ ok: true, value })) })
      })
    }
    return {
      readSnapshot: () => call(READ_TIMEOUT_MS, respond => respond({ restoreCount: 0, revision, configuration: createConfiguration(version), targets: [], evacuatedZones: evacuations.map(({ zone }) => zone) })),
      watch: (after, waitMs) => call(waitMs + WATCH_MARGIN_MS, respond => {
        const finish = (): void => {
          cancel()
          pending.delete(finish)
          respond(changesAfter(after))
        }
        const cancel = clock.after(waitMs, finish)
        pending.add(finish)
        if (after.revision < revision) finish()
      }),
      callCount: () => callCount,
      close: async () => {}
    }
  }

  const notify = (): void => { for (const finish of [...pending]) finish() }

  return {
    clientOf,
    callCount: () => callCount,
    publish: () => {
      version++
      revision++
      notify()
      return version
    },
    evacuate: (zone: string) => {
      evacuations.push({ zone, atRevision: ++revision })
      notify()
    }
  }
}

export const createSimulatedStoreFleet = async ({ nodeCount, zones, seed, seedCount = nodeCount, datagramLoss = 0 }: SimulatedStoreFleetOptions): Promise<SimulatedStoreFleet> => {
  const clock = createManualClock(1_000)
  const random: Random = createRandom(seed)
  const store = createSimulatedStore(clock)
  const byHost = new Map<string, SimulatedNode>()

  const latencyMs = (from: SimulatedNode, to: SimulatedNode): number => (from.zone === to.zone ? LATENCY_MS : CROSS_ZONE_LATENCY_MS) * (1 + random.next())

  /** Runs the handler of a message once the network and the processor of the receiver have come to it. */
  const deliver = (from: SimulatedNode, to: SimulatedNode, costMs: number, run: () => void): void => {
    clock.after(latencyMs(from, to), () => {
      if (to.state !== 'up') return
      to.busyUntilMs = Math.max(clock.nowMs(), to.busyUntilMs) + costMs * to.slowdown
      clock.after(to.busyUntilMs - clock.nowMs(), () => { if (to.state === 'up') run() })
    })
  }

  const callPeer = <T>(from: SimulatedNode, host: string, signal: AbortSignal | undefined, answer: (source: PeerRpcSource) => T | Promise<T>): Promise<T> => new Promise((resolve, reject) => {
    const to = byHost.get(host)
    const fail = (message: string): void => {
      cancel()
      reject(new Error(message))
    }
    const cancel = clock.after(CALL_TIMEOUT_MS, () => fail('no answer in time'))
    signal?.addEventListener('abort', () => fail('aborted'))
    if (!to) return
    deliver(from, to, CALL_MS, () => {
      if (!to.peerSource) return
      to.callsAnswered++
      Promise.resolve(answer(to.peerSource)).then(value => clock.after(latencyMs(to, from), () => {
        cancel()
        if (from.state === 'up') resolve(structuredClone(value))
      }), error => fail(String(error)))
    })
  })

  const createNetwork = (node: () => SimulatedNode): PeerNetwork => {
    const openServer: OpenPeerServer = async (_address, _auth, source) => {
      node().peerSource = source
      return { port: PORTS.peer, rejectedCount: () => 0, bytesSent: () => 0, close: async () => {} }
    }
    const openGossipSocket: OpenGossipSocket = async (_listen, onDatagram) => {
      node().onDatagram = onDatagram
      return {
        port: PORTS.gossip,
        send: (bytes, { host }) => {
          const to = byHost.get(host)
          if (!to || node().state !== 'up' || random.next() < datagramLoss) return
          deliver(node(), to, DATAGRAM_MS, () => {
            to.datagramsReceived++
            to.onDatagram?.(bytes, { host: node().host, gossipPort: PORTS.gossip })
          })
        },
        close: async () => {}
      }
    }
    type Options = { signal?: AbortSignal }
    const createClients = (): PeerClients => ({
      to: ({ host }: { host: string }) => ({
        changes: { query: (input: Parameters<PeerRpcSource['changes']>[0], options: Options = {}) => callPeer(node(), host, options.signal, source => source.changes(input)) },
        published: { query: (input: Parameters<PeerRpcSource['published']>[0], options: Options = {}) => callPeer(node(), host, options.signal, source => source.published(input)) },
        crashNotes: { query: () => callPeer(node(), host, undefined, source => source.crashNotes()) }
      }),
      callCount: () => 0,
      bytesReceived: () => 0,
      close: async () => {}
    }) as unknown as PeerClients
    return { createClients, openServer, openGossipSocket }
  }

  const vmOf = (index: number): VmEntry => {
    const zone = zones[index % zones.length] as string
    return { vmId: `${zone}-${index}`, role: 'entry', zone, host: `10.0.${index >> 8}.${index & 255}`, port: 3, gossipPort: PORTS.gossip, peerPort: PORTS.peer, state: 'live' }
  }
  const vms = Array.from({ length: nodeCount }, (_, index) => vmOf(index))

  const startNode = async (vm: VmEntry, index: number): Promise<SimulatedNode> => {
    const node: SimulatedNode = {
      id: vm.vmId,
      zone: vm.zone,
      host: vm.host,
      storeFault: 'none',
      slowdown: 1,
      state: 'up',
      adopted: [],
      evacuatedMs: new Map(),
      logs: [],
      callsAnswered: 0,
      datagramsReceived: 0,
      busyUntilMs: 0,
      runtime: undefined as unknown as FleetRuntime
    }
    const settings = createNodeSettings(index, 'http://127.0.0.1:1', {
      nodeId: vm.vmId, zone: vm.zone, advertiseHost: vm.host, advertiseGossipPort: PORTS.gossip, advertisePeerPort: PORTS.peer
    })
    node.runtime = createStoreFleet({
      settings,
      clock,
      random: createRandom(seed * 1_009 + index),
      log: (event, fields = {}) => { node.logs.push({ atMs: clock.nowMs(), event, fields }) },
      events: createEventRecord(10)
    }, { store: store.clientOf(() => node.storeFault), targetLeaseMs: 4_500, seeds: () => vms.slice(0, seedCount), network: createNetwork(() => node) })
    node.runtime.onConfiguration(({ order }) => { node.adopted.push({ atMs: clock.nowMs(), version: order.revision }) })
    node.runtime.onEvacuations(evacuated => { for (const zone of evacuated) if (!node.evacuatedMs.has(zone)) node.evacuatedMs.set(zone, clock.nowMs()) })
    byHost.set(node.host, node)
    await node.runtime.start({
      status: () => { throw new Error('not simulated') },
      explain: () => [],
      report: () => { throw new Error('not simulated') },
      crashNotes: () => []
    })
    return node
  }

  const nodes: SimulatedNode[] = []
  for (const [index, vm] of vms.entries()) nodes.push(await startNode(vm, index))

  const run = async (durationMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      clock.advance(STEP_MS)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  return {
    clock,
    nodes,
    publish: store.publish,
    evacuate: store.evacuate,
    run,
    storeCallCount: store.callCount,
    stop: async () => { await Promise.all(nodes.map(({ runtime }) => runtime.stop())) }
  }
}

/** Time at which each node had a version in force or a newer one, after the given time; Infinity if not yet. */
export const adoptionDelaysMs = (nodes: readonly SimulatedNode[], version: number, sinceMs: number): number[] =>
  nodes.map(({ adopted }) => (adopted.find(entry => entry.version >= version)?.atMs ?? Infinity) - sinceMs)
