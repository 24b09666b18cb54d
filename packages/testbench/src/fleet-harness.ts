/**
 * Fleet of real daemon processes that use the test doubles. All addresses are on
 * loopback. Gossip and peer addresses can be behind fault-injecting proxies.
 */
import { createTRPCClient, httpLink } from '@trpc/client'
import type { AdminRouter } from '@wisteriavalve/daemon/admin-api'
import type { NodeStatus, VmEntry } from '@wisteriavalve/schema'
import { startDaemonProcess, WAIT_TIMEOUT_MS, type DaemonProcess } from './daemon-process.js'
import { reserveTcpPort, reserveUdpPort, allocateLoopbackHost } from './net.js'
import type { ConfigurationService } from './platform/configuration-service.js'
import type { VmListDouble } from './platform/vm-list.js'
import { createTcpProxy, type TcpProxy } from './proxy/tcp.js'
import { createUdpProxy, type UdpProxy } from './proxy/udp.js'
import { waitUntil } from './wait.js'

export type FleetOptions = {
  fleet: string
  zones: readonly string[]
  count: number
  configurationService: Pick<ConfigurationService, 'url'>
  vmList: VmListDouble
  seed: number
  policy?: string
  /** Whether the gossip and peer addresses of each node are behind proxies. */
  hasNodeProxies?: boolean
  /** Additional settings, by the name of their environment variable without prefix. */
  settings?: (index: number) => Record<string, string>
}

type Ports = { caller: number, gossip: number, peer: number, admin: number }

export type FleetNode = {
  nodeId: string
  zone: string
  host: string
  callerPort: number
  adminPort: number
  /** Port of the gossip socket itself, not of its proxy. */
  gossipPort: number
  process: DaemonProcess
  gossipProxy?: UdpProxy
  peerProxy?: TcpProxy
  vm: VmEntry
  isReady: () => Promise<boolean>
  waitReady: (timeoutMs?: number) => Promise<void>
  status: () => Promise<NodeStatus>
  metrics: () => Promise<string>
  /** Sends SIGTERM. Resolves with the exit code. */
  stop: () => Promise<number>
  /** Sends SIGKILL. Resolves after the exit. */
  kill: () => Promise<void>
  pause: () => void
  resume: () => void
}

export type Fleet = {
  nodes: FleetNode[]
  /** Starts one more node and adds it to the VM list. */
  add: () => Promise<FleetNode>
  waitReady: (timeoutMs?: number) => Promise<void>
  /** Blocks gossip and pulls between the nodes of the group and all others. An empty group ends the partition. */
  partition: (group: readonly FleetNode[]) => void
  /** Ends all processes and proxies. Must be called in every case. */
  close: () => Promise<void>
}

const READY_PATH = '/.well-known/wisteriavalve/ready'

/** Reserves the ports of a daemon until it starts, so none of them is assigned twice or to a proxy. */
const reservePorts = async (host: string): Promise<{ ports: Ports, release: () => Promise<unknown> }> => {
  const [caller, peer, admin, gossip] = await Promise.all([reserveTcpPort(host), reserveTcpPort(host), reserveTcpPort(host), reserveUdpPort(host)])
  return {
    ports: { caller: caller.port, gossip: gossip.port, peer: peer.port, admin: admin.port },
    release: () => Promise.all([caller, peer, admin, gossip].map(each => each.release()))
  }
}

const createNode = async (options: FleetOptions, index: number): Promise<FleetNode> => {
  const host = allocateLoopbackHost()
  const { ports, release } = await reservePorts(host)
  const zone = options.zones[index % options.zones.length] as string
  const nodeId = `entry-${index + 1}`
  // The proxies use the host of the node, because a node advertises only one host.
  const gossipProxy = options.hasNodeProxies ? await createUdpProxy({ host, targetHost: host, targetPort: ports.gossip }) : undefined
  const peerProxy = options.hasNodeProxies ? await createTcpProxy({ host, targetHost: host, targetPort: ports.peer }) : undefined
  await release()
  const daemon = startDaemonProcess({
    NODE_ID: nodeId,
    FLEET: options.fleet,
    ZONE: zone,
    FLEET_KEY: 'fleet key of the test bench',
    CALLER_LISTEN: `${host}:${ports.caller}`,
    GOSSIP_LISTEN: `${host}:${ports.gossip}`,
    PEER_LISTEN: `${host}:${ports.peer}`,
    ADMIN_LISTEN: `${host}:${ports.admin}`,
    ADVERTISE_HOST: host,
    ...(gossipProxy ? { ADVERTISE_GOSSIP_PORT: String(gossipProxy.port) } : {}),
    ...(peerProxy ? { ADVERTISE_PEER_PORT: String(peerProxy.port) } : {}),
    CONFIGURATION_SERVICE_URL: options.configurationService.url,
    VM_LIST_URL: options.vmList.url,
    SEED: String(options.seed + index + 1),
    ...(options.policy ? { POLICY: options.policy } : {}),
    ...options.settings?.(index)
  })
  const admin = createTRPCClient<AdminRouter>({ links: [httpLink({ url: `http://${host}:${ports.admin}` })] })
  const isReady = async (): Promise<boolean> => {
    try {
      const response = await fetch(`http://${host}:${ports.caller}${READY_PATH}`)
      await response.arrayBuffer()
      return response.status === 200
    } catch {
      return false
    }
  }
  const waitReady = async (timeoutMs = WAIT_TIMEOUT_MS): Promise<void> => {
    await waitUntil(`${nodeId} ready`, timeoutMs, async () => {
      if (!daemon.isRunning()) throw new Error(`${nodeId} exited:\n${daemon.logLines().slice(-10).join('\n')}`)
      return await isReady()
    })
  }
  return {
    nodeId,
    zone,
    host,
    callerPort: ports.caller,
    adminPort: ports.admin,
    gossipPort: ports.gossip,
    process: daemon,
    gossipProxy,
    peerProxy,
    vm: {
      vmId: nodeId, role: 'entry', zone, host, port: ports.caller, gossipPort: gossipProxy?.port ?? ports.gossip, peerPort: peerProxy?.port ?? ports.peer, state: 'live'
    },
    isReady,
    waitReady,
    status: () => admin.status.query(),
    metrics: async () => (await fetch(`http://${host}:${ports.admin}/metrics`)).text(),
    stop: () => {
      daemon.signal('SIGTERM')
      return daemon.exited
    },
    kill: async () => {
      daemon.signal('SIGKILL')
      await daemon.exited
    },
    pause: () => daemon.signal('SIGSTOP'),
    resume: () => daemon.signal('SIGCONT')
  }
}

const closeNode = async (node: FleetNode): Promise<void> => {
  if (node.process.isRunning()) await node.kill()
  await Promise.all([node.gossipProxy?.close(), node.peerProxy?.close()])
}

export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
  const nodes: FleetNode[] = []
  const close = async (): Promise<void> => { await Promise.all(nodes.map(closeNode)) }
  const add = async (): Promise<FleetNode> => {
    const node = await createNode(options, nodes.length)
    nodes.push(node)
    options.vmList.add(node.vm)
    return node
  }
  const partition = (group: readonly FleetNode[]): void => {
    for (const node of nodes) {
      const others = group.length === 0 ? [] : nodes.filter(other => group.includes(other) !== group.includes(node))
      node.gossipProxy?.blockSenders(others.map(other => ({ host: other.host, port: other.gossipPort })))
      node.peerProxy?.setPartitioned(group.includes(node))
    }
  }
  try {
    for (let index = 0; index < options.count; index++) await add()
  } catch (error) {
    await close()
    throw error
  }
  return {
    nodes,
    add,
    waitReady: async timeoutMs => { await Promise.all(nodes.map(node => node.waitReady(timeoutMs))) },
    partition,
    close
  }
}
