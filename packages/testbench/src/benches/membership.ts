/**
 * Bench of membership: real daemons at 5, 10 and 20 nodes, and hundreds of
 * nodes by the decision logic alone on a manual clock.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createSimulatedFleet, isConverged } from '@wisteriavalve/fleet/testing'
import type { MemberState } from '@wisteriavalve/schema'
import type { FleetNode } from '../fleet-harness.js'
import { measureIdle, NODE_COUNTS, slopeOf, startFleetRun, timeUntil, type FleetRun } from './fleet-run.js'
import type { BenchOptions } from './types.js'

export const description = 'membership: detection, convergence, and what it costs each node'

const IDLE_MS = 15_000
const PAUSE_MS = 15_000
const PARTITION_MS = 15_000
const BOUND_MS = 60_000
const SIMULATED_COUNTS = [100, 200, 400]

type View = Map<string, MemberState>

const readViews = async (nodes: readonly FleetNode[]): Promise<View[]> =>
  Promise.all(nodes.map(async node => new Map((await node.status()).members.map(({ nodeId, state }) => [nodeId, state]))))

const seesAll = (nodes: readonly FleetNode[]) => async (): Promise<boolean> =>
  (await readViews(nodes)).every(view => view.size === nodes.length && [...view.values()].every(state => state === 'alive'))

const hasNone = (nodes: readonly FleetNode[], nodeId: string, states: readonly (MemberState | undefined)[]) => async (): Promise<boolean> =>
  (await readViews(nodes)).every(view => !states.includes(view.get(nodeId)))

const orNever = (ms: number | undefined): number | string => ms ?? 'never'

const measureKill = async (run: FleetRun): Promise<Record<string, number | string>> => {
  const [victim, ...others] = run.fleet.nodes as [FleetNode, ...FleetNode[]]
  await victim.kill()
  run.vmList.remove(victim.nodeId)
  const notAliveMs = await timeUntil(BOUND_MS, hasNone(others, victim.nodeId, ['alive']))
  const furtherMs = await timeUntil(BOUND_MS, seesAll(others))
  return { killed_not_alive_everywhere_ms: orNever(notAliveMs), killed_gone_everywhere_ms: orNever(notAliveMs !== undefined && furtherMs !== undefined ? notAliveMs + furtherMs : undefined) }
}

const measurePause = async (nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  const paused = nodes[1] as FleetNode
  paused.pause()
  await sleep(PAUSE_MS)
  paused.resume()
  return { paused_back_everywhere_ms: orNever(await timeUntil(BOUND_MS, seesAll(nodes))) }
}

const measurePartition = async (run: FleetRun, nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  run.fleet.partition(nodes.filter((_, index) => index % 2 === 0))
  await sleep(PARTITION_MS)
  const served = (await Promise.all(nodes.map(node => node.isReady()))).every(Boolean)
  run.fleet.partition([])
  return { served_in_partition: String(served), partition_merged_ms: orNever(await timeUntil(BOUND_MS, seesAll(nodes))) }
}

const runReal = async (count: number, seed: number, options: BenchOptions): Promise<Record<string, number>> => {
  const run = await startFleetRun({ deployment: options.deployment, count, seed, proxied: true })
  try {
    const { nodes } = run.fleet
    const joinMs = await timeUntil(BOUND_MS, seesAll(nodes))
    await sleep(5000)
    const idle = await measureIdle(nodes, IDLE_MS)
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
  const joinMs = fleet.runUntil(() => isConverged(fleet), BOUND_MS)
  fleet.run(60_000)
  const sentBefore = fleet.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0)
  const cpuBefore = process.cpuUsage()
  fleet.run(20_000)
  const cpu = process.cpuUsage(cpuBefore)
  const sent = fleet.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0) - sentBefore
  const victim = fleet.nodes[0]
  if (victim) fleet.kill(victim)
  const deadMs = fleet.runUntil(() => isConverged(fleet), 2 * BOUND_MS)
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
