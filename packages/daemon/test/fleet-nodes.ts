/** Starts fleet runtimes on loopback ports for tests. */
import { createEventRecord, createRandom, createSystemClock } from '@wisteriavalve/common'
import type { ActiveConfiguration } from '../src/types.js'
import type { LogEventName, NodeStatus, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { createFleetRuntime, type DaemonSettings, type FleetRuntime, type ServiceTargets } from '../src/index.js'

export type TestNode = {
  id: string
  settings: DaemonSettings
  runtime: FleetRuntime
  vm: VmEntry
  adopted: ActiveConfiguration[]
  targets: Map<string, ServiceTargets>
  notes: TargetNote[]
  logs: Array<{ event: LogEventName, fields: Record<string, unknown> }>
}

/** A loopback address for each test process: a port that is free now can be taken by a parallel test before it is bound. */
const host = `127.${220 + (process.pid >> 8) % 30}.${process.pid % 256}.1`
/** Below the range from which the kernel draws ports. */
const FIRST_PORT = 21_000
let portCount = 0
const nextPort = (): number => FIRST_PORT + portCount++

export const createNodeSettings = (index: number, platformUrl: string, change: Partial<DaemonSettings> = {}): DaemonSettings => ({
  nodeId: `entry-${index}`,
  fleet: 'okonkwo',
  zone: ['lagos-a', 'lagos-b', 'ibadan-c'][index % 3] as string,
  fleetKey: 'a-test-key-of-the-fleet',
  callerListen: { host, port: 20_000 + index },
  gossipListen: { host, port: nextPort() },
  peerListen: { host, port: nextPort() },
  adminListen: { host, port: 1 },
  advertiseHost: host,
  configurationServiceUrl: platformUrl,
  vmListUrl: `${platformUrl}/v1/vms`,
  services: [],
  policy: 'adaptive',
  seed: index + 1,
  logLevel: 'info',
  stopTimeoutMs: 0,
  ...change
})

export const createEntryVm = (settings: DaemonSettings): VmEntry => ({
  vmId: settings.nodeId,
  role: 'entry',
  zone: settings.zone,
  host,
  port: settings.callerListen.port,
  gossipPort: settings.gossipListen.port,
  peerPort: settings.peerListen.port,
  state: 'live'
})

const statusOf = (runtime: FleetRuntime, settings: DaemonSettings): NodeStatus => ({
  nodeId: settings.nodeId,
  fleet: settings.fleet,
  zone: settings.zone,
  phase: 'serving',
  uptimeMs: 1,
  policy: settings.policy,
  configurationState: runtime.configurationStatus().state,
  configurationReason: runtime.configurationStatus().reason ?? '',
  members: runtime.members(),
  targets: [],
  counters: runtime.counters()
})

export const startTestNode = async (settings: DaemonSettings): Promise<TestNode> => {
  const logs: TestNode['logs'] = []
  const runtime = createFleetRuntime({
    settings,
    clock: createSystemClock(),
    random: createRandom(settings.seed),
    log: (event, fields = {}) => { logs.push({ event, fields }) },
    events: createEventRecord(1000)
  })
  const node: TestNode = { id: settings.nodeId, settings, runtime, vm: createEntryVm(settings), adopted: [], targets: new Map(), notes: [], logs }
  runtime.onConfiguration(configuration => { node.adopted.push(configuration) })
  runtime.onTargets((service, targets) => { node.targets.set(service, targets) })
  runtime.onNotes(notes => { node.notes.push(...notes) })
  await runtime.start({
    status: () => statusOf(runtime, settings),
    explain: () => [],
    report: () => ({ nodeId: settings.nodeId, zone: settings.zone, sinceWallMs: 0, buckets: [], events: [] }),
    crashNotes: () => []
  })
  return node
}

/** Waits until a condition holds, checking every 10 ms. @returns the waiting time in ms */
export const waitUntil = async (what: string, holds: () => boolean, timeoutMs = 10_000): Promise<number> => {
  const startMs = performance.now()
  while (!holds()) {
    if (performance.now() - startMs > timeoutMs) throw new Error(`not within ${timeoutMs} ms: ${what}`)
    await new Promise(resolve => { setTimeout(resolve, 10) })
  }
  return performance.now() - startMs
}
