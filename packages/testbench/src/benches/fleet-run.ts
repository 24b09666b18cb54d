/**
 * Starts real daemons for the benches of the communication between nodes, and
 * reads their resource usage: processor time and memory from /proc, and the
 * counters of each node.
 */
import { readFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'
import type { ConfigurationEntry } from '../platform/configuration-service.js'
import { createConfiguration, findFleetSettings, findServices } from '../configuration.js'
import { startDeployment, type Deployment } from '../deployment.js'
import type { FleetNode } from '../fleet-harness.js'
import { generateExample, type DeploymentName } from '../generate.js'
import type { FleetSettings } from '@wisteriavalve/schema'

export const NODE_COUNTS = [5, 10, 20] as const

/** Kernel clock ticks per second, the unit of processor time in /proc; 100 on all common Linux builds. */
const TICKS_PER_S = 100
const PAGE_BYTES = 4096
/** Interval between status reads. Each read uses processor time of the nodes. */
const POLL_MS = 200

export type FleetRunOptions = {
  deployment: DeploymentName
  count: number
  seed: number
  targetsPerService?: number
  proxied?: boolean
  settings?: Partial<FleetSettings>
}

export type FleetRun = Deployment & {
  /** Configuration with changed fleet settings, which differs in one value. */
  createVariant: (change: Partial<FleetSettings>) => ConfigurationEntry[]
  settings: FleetSettings
}

export const startFleetRun = async (options: FleetRunOptions): Promise<FleetRun> => {
  const example = await generateExample(options.deployment)
  const services = findServices(example)
  const settings = { ...findFleetSettings(example), ...options.settings }
  const createVariant = (change: Partial<FleetSettings>): ConfigurationEntry[] => createConfiguration({ ...settings, ...change }, services)
  const deployment = await startDeployment({
    settings,
    configurationEntries: createVariant({}),
    services: services.map(({ name, slotsPerTarget }) => ({ name, targetCount: options.targetsPerService ?? 1, slots: slotsPerTarget })),
    nodeCount: options.count,
    seed: options.seed,
    hasNodeProxies: options.proxied,
    nodeSettings: () => ({ LOG_LEVEL: 'warn' })
  })
  return { ...deployment, createVariant, settings }
}

export type Usage = { cpuMs: number, rssBytes: number, counters: Record<string, number> }

export const readUsage = async (node: FleetNode): Promise<Usage> => {
  const stat = await readFile(`/proc/${node.process.pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])]
  const [, residentPages] = (await readFile(`/proc/${node.process.pid}/statm`, 'utf8')).split(' ')
  const { counters } = await node.status()
  return { cpuMs: (userTicks + systemTicks) * 1000 / TICKS_PER_S, rssBytes: Number(residentPages) * PAGE_BYTES, counters }
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

const BYTE_COUNTERS = ['gossip_sent_bytes', 'gossip_received_bytes', 'peer_bytes_sent', 'peer_bytes_received']

const sumBytes = ({ counters }: Usage): number => BYTE_COUNTERS.reduce((sum, name) => sum + (counters[name] ?? 0), 0)

/** Mean and maximum resource usage per node over a period. Bytes count both directions. */
export const measureUsage = async (nodes: readonly FleetNode[], durationMs: number): Promise<Record<string, number>> => {
  const before = await Promise.all(nodes.map(readUsage))
  const startMs = performance.now()
  await sleep(durationMs)
  const after = await Promise.all(nodes.map(readUsage))
  const seconds = (performance.now() - startMs) / 1000
  const ratesPerS = (read: (usage: Usage) => number): number[] => after.map((usage, index) => (read(usage) - read(before[index] as Usage)) / seconds)
  const bytes = ratesPerS(sumBytes)
  const cpu = ratesPerS(({ cpuMs }) => cpuMs / 10)
  return {
    bytes_per_s: mean(bytes),
    bytes_per_s_max: Math.max(...bytes),
    cpu_percent: mean(cpu),
    cpu_percent_max: Math.max(...cpu),
    rss_mb: mean(after.map(({ rssBytes }) => rssBytes / 1e6)),
    rss_mb_max: Math.max(...after.map(({ rssBytes }) => rssBytes / 1e6))
  }
}

/** Time until a condition is met; undefined when it takes longer than timeoutMs. */
export const measureTimeUntil = async (timeoutMs: number, isMet: () => Promise<boolean>): Promise<number | undefined> => {
  const startMs = performance.now()
  while (performance.now() - startMs < timeoutMs) {
    if (await isMet()) return Math.round(performance.now() - startMs)
    await sleep(POLL_MS)
  }
  return undefined
}

/** Least-squares slope, such as of a value over the number of nodes. */
export const slopeOf = (points: ReadonlyArray<{ x: number, y: number }>): number => {
  const [meanX, meanY] = [mean(points.map(({ x }) => x)), mean(points.map(({ y }) => y))]
  return points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
}
