/**
 * Bench of configuration distribution: time until a head is in force on every
 * node, and reads from the configuration service, with and without faults.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { FleetNode } from '../fleet-harness.js'
import { NODE_COUNTS, startFleetRun, measureTimeUntil, type FleetRun } from './fleet-run.js'
import type { BenchOptions } from './types.js'

export const description = 'configuration: time until it is in force on all nodes, and reads from the configuration service'

const TIMEOUT_MS = 30_000
const IDLE_MS = 12_000
const CHANGES = 10
const OUTAGE_MS = 12_000

const hasRevision = (nodes: readonly FleetNode[], revision: number) => async (): Promise<boolean> =>
  (await Promise.all(nodes.map(node => node.status()))).every(({ configuration }) => configuration?.revision === revision)

const orNever = (ms: number | undefined): number | string => ms ?? 'never'

const countReads = (run: FleetRun): number => run.configurationService.counters().reads

const publishAndTime = (run: FleetRun, nodes: readonly FleetNode[], rate: number): Promise<number | undefined> =>
  measureTimeUntil(TIMEOUT_MS, hasRevision(nodes, run.configurationService.publish(run.createVariant({ probesPerTargetPerS: rate }))))

const measureChanges = async (run: FleetRun, nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  const idleBefore = countReads(run)
  await sleep(IDLE_MS)
  const idleReads = countReads(run) - idleBefore
  const before = countReads(run)
  const times: number[] = []
  for (let change = 0; change < CHANGES; change++) times.push(await publishAndTime(run, nodes, 0.5 + change / 100) ?? Infinity)
  return {
    idle_reads_per_s: idleReads / IDLE_MS * 1000,
    watches_waiting: run.configurationService.counters().watchesWaiting,
    in_force_everywhere_ms_mean: times.reduce((sum, ms) => sum + ms, 0) / CHANGES,
    in_force_everywhere_ms_max: Math.max(...times),
    reads_per_change: (countReads(run) - before) / CHANGES
  }
}

/** Two operators publish concurrently: the values of both, then both heads. */
const measureTwoOperators = async (run: FleetRun, nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  const [first, second] = [run.createVariant({ probesPerTargetPerS: 0.71 }), run.createVariant({ probesPerTargetPerS: 0.72 })]
  const isHead = ({ key }: { key: string }): boolean => key.endsWith('/head')
  run.configurationService.publish([...first, ...second].filter(entry => !isHead(entry)))
  run.configurationService.publish(first.filter(isHead))
  const revision = run.configurationService.publish(second.filter(isHead))
  return { two_operators_ms: orNever(await measureTimeUntil(TIMEOUT_MS, hasRevision(nodes, revision))) }
}

/** Replaces nodes while the configuration service is down, then publishes a head. */
const measureOutage = async (run: FleetRun): Promise<Record<string, number | string>> => {
  const { nodes } = run.fleet
  const removedNodes = nodes.slice(0, 2)
  run.configurationService.setOutage('refuse')
  await Promise.all(removedNodes.map(async node => { await node.kill(); run.vmList.remove(node.nodeId) }))
  const startMs = performance.now()
  const replacements = [await run.fleet.add(), await run.fleet.add()]
  await Promise.all(replacements.map(node => node.waitReady()))
  const replacementsReadyMs = performance.now() - startMs
  await sleep(OUTAGE_MS)
  const currentNodes = run.fleet.nodes.filter(node => !removedNodes.includes(node))
  const before = countReads(run)
  run.configurationService.setOutage('none')
  const spreadMs = await publishAndTime(run, currentNodes, 0.8)
  await sleep(2000)
  return { replaced_ready_in_outage_ms: replacementsReadyMs, after_outage_in_force_ms: orNever(spreadMs), reads_after_outage: countReads(run) - before }
}

/** Replaces the store by an old snapshot. Nodes keep their configuration until the restore count is raised. */
const measureRestore = async (run: FleetRun, nodes: readonly FleetNode[]): Promise<Record<string, number | string>> => {
  const copy = run.configurationService.takeSnapshot()
  await publishAndTime(run, nodes, 0.9)
  const keptRevision = (await nodes[0]?.status())?.configuration?.revision ?? -1
  run.configurationService.restore(copy)
  await sleep(3000)
  const statuses = await Promise.all(nodes.map(node => node.status()))
  return {
    kept_after_restore: String(statuses.every(({ configuration }) => configuration?.revision === keptRevision)),
    reporting_behind: statuses.filter(({ configurationState }) => configurationState === 'service-behind').length
  }
}

const runOnce = async (count: number, seed: number, options: BenchOptions): Promise<void> => {
  const run = await startFleetRun({ deployment: options.deployment, count, seed })
  try {
    const startReads = countReads(run)
    await sleep(5000)
    const changes = await measureChanges(run, run.fleet.nodes)
    const operators = await measureTwoOperators(run, run.fleet.nodes)
    const outage = await measureOutage(run)
    const currentNodes = run.fleet.nodes.filter(node => node.process.isRunning())
    const restore = await measureRestore(run, currentNodes)
    const { tooManyRequests } = run.configurationService.counters()
    options.report({ seed, nodes: count, reads_at_start: startReads, ...changes, ...operators, ...outage, ...restore, too_many_requests: tooManyRequests })
  } finally {
    await run.close()
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) for (const count of NODE_COUNTS) await runOnce(count, seed, options)
}
