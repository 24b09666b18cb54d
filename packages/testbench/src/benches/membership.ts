/**
 * Bench of membership: 5, 10 and 20 real daemons, and hundreds of simulated nodes
 * that run only the decision logic on a manual clock.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createSimulatedFleet, isConverged } from '@wisteriavalve/fleet/testing'
import type { MemberState } from '@wisteriavalve/schema'
import type { FleetNode } from '../fleet-harness.js'
import { measureUsage, NODE_COUNTS, slopeOf, startFleetRun, measureTimeUntil, type FleetRun } from './fleet-run.js'
import type { BenchOptions } from './types.js'

export const description = 'membership: failure detection, convergence, and resource usage of each node'

const IDLE_MS = 15_000
const PAUSE_MS = 15_000
const PARTITION_MS = 15_000
const TIMEOUT_MS = 60_000
const SIMULATED_COUNTS = [100, 200, 400]

type View = Map<string, MemberState>

const readViews = async (nodes: readonly FleetNode[]): Promise<View[]> =>
  Promise.all(nodes.map(async node => new Map((await node.status()).members.map(({ nodeId, state }) => [nodeId, state]))))

const haveFullMembership = (nodes: readonly FleetNode[]) => async (): Promise<boolean> =>
  (await readViews(nodes)).every(view => view.size === nodes.length && [...view.values()].every(state => state === 'alive'))

const haveNoneInStates = (nodes: readonly FleetNode[], nodeId: string, states: readonly (MemberState | undefined)[]) => async (): Promise<boolean> =>
  (await readViews(nodes)).every(view => !states.includes(view.get(nodeId)))

const orNever = (ms: number | undefined): number | string => ms ?? 'never'

const measureKill = async (run: FleetRun): Promise<Record<string, number | string>> => {
  const [killedNode, ...others] = run.fleet.nodes as [FleetNode, ...FleetNode[]]
  await killedNode.kill()
  run.vmList.remove(killedNode.nodeId)
  const notAliveMs = await measureTimeUntil(TIMEOUT_MS, haveNoneInStates(others, killedNode.nodeId, ['alive']))
  const furtherMs = await measureTimeUntil(TIMEOUT_MS, haveFullMembership(others))
  return { killed_not_alive_everywhere_ms: orNever(notAliveMs), killed_gone_everywhere_ms: orNever(notAliveMs !== undefined && furtherMs !== undefined ? notAliveMs + furtherMs : undefined) }
}

const measurePause = async (nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  const paused = nodes[1] as FleetNode
  paused.pause()
  await sleep(PAUSE_MS)
  paused.resume()
  return { paused_back_everywhere_ms: orNever(await measureTimeUntil(TIMEOUT_MS, haveFullMembership(nodes))) }
}

const measurePartition = async (run: FleetRun, nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  run.fleet.partition(nodes.filter((_, index) => index % 2 === 0))
  await sleep(PARTITION_MS)
  const served = (await Promise.all(nodes.map(node => node.isReady()))).every(Boolean)
  run.fleet.partition([])
  return { served_in_partition: String(served), partition_merged_ms: orNever(await measureTimeUntil(TIMEOUT_MS, haveFullMembership(nodes))) }
}

const runReal = async (count: number, seed: number, options: BenchOptions): Promise<Record<string, number>> => {
  const run = await startFleetRun({ deployment: options.deployment, count, seed, proxied: true })
  try {
    const { nodes } = run.fleet
    const joinMs = await measureTimeUntil(TIMEOUT_MS, haveFullMembership(nodes))
    await sleep(5000)
    const idle = await measureUsage(nodes, IDLE_MS)
    const pause = await measurePause(nodes)
    const partition = await measurePartition(run, nodes)
    const kill = await measureKill(run)
    options.report({ run: 'daemons', seed, nodes: count, joined_after_ready_ms: orNever(joinMs), ...idle, ...pause, ...partition, ...kill })
    return idle
  } finally {
    await run.close()
  }
}

const runSimulated = (count: number, seed: number, options: BenchOptions): void => {
  const fleet = createSimulatedFleet({ count, seed })
  const joinMs = fleet.runUntil(() => isConverged(fleet), TIMEOUT_MS)
  fleet.run(60_000)
  const sentBefore = fleet.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0)
  const cpuBefore = process.cpuUsage()
  fleet.run(20_000)
  const cpu = process.cpuUsage(cpuBefore)
  const sent = fleet.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0) - sentBefore
  const killedNode = fleet.nodes[0]
  if (killedNode) fleet.kill(killedNode)
  const deadMs = fleet.runUntil(() => isConverged(fleet), 2 * TIMEOUT_MS)
  options.report({
    run: 'simulated',
    seed,
    nodes: count,
    joined_ms: orNever(joinMs),
    sent_bytes_per_s: sent / 20 / count,
    decision_cpu_percent: (cpu.user + cpu.system) / 1000 / 20_000 / count * 100,
    killed_gone_everywhere_ms: orNever(deadMs)
  })
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) {
    const points: Array<{ x: number, idle: Record<string, number> }> = []
    for (const count of NODE_COUNTS) points.push({ x: count, idle: await runReal(count, seed, options) })
    const slope = (name: string): number => slopeOf(points.map(({ x, idle }) => ({ x, y: idle[name] ?? 0 })))
    options.report({ run: 'slope-per-node', seed, bytes_per_s: slope('bytes_per_s'), cpu_percent: slope('cpu_percent'), rss_mb: slope('rss_mb') })
    for (const count of SIMULATED_COUNTS) runSimulated(count, seed, options)
  }
}
