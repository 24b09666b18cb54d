/**
 * Bench of health probes: probes per target and second from the whole fleet,
 * compared with the budget. Measured without traffic, with partitions, pauses and
 * replacements, and on targets with traffic. Also measures the processor time of
 * a probe.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { FleetNode } from '../fleet-harness.js'
import { measureUsage, NODE_COUNTS, readUsage, startFleetRun, type FleetRun } from './fleet-run.js'
import { createProbeRunner } from '@wisteriavalve/daemon'
import type { BenchOptions } from './types.js'

export const description = 'health probes compared with the budget of each target, with and without faults'

const WINDOW_MS = 30_000
const WARM_UP_MS = 20_000
const TARGETS_PER_SERVICE = 4
const COST_PROBES = 500
const TRAFFIC_INTERVAL_MS = 200
const SAMPLE_MS = 1000
/** A target counts as having traffic when the gaps between its requests are shorter than this. */
const TRAFFIC_GAP_MS = 2000

type Rates = {
  mean: number
  max: number
  busiestSecond: number
  /** Targets that had traffic during the whole period, and the probes that they received. */
  withTraffic: { targets: number, probes: number }
}

const hadSteadyTraffic = (run: FleetRun, serverId: string, fromMs: number, toMs: number): boolean => {
  const times = run.record.events()
    .filter(event => event.type === 'started' && event.serverId === serverId && event.timeMs >= fromMs && event.timeMs <= toMs)
    .map(({ timeMs }) => timeMs)
  return [fromMs, ...times].every((timeMs, index) => (times[index] ?? toMs) - timeMs < TRAFFIC_GAP_MS)
}

/** Probes per target and second, and the maximum that one target received within a second. */
const countProbes = async (run: FleetRun, durationMs: number): Promise<Rates> => {
  const backends = run.backends()
  const read = (): number[] => backends.map(({ probeCount }) => probeCount?.() ?? 0)
  const first = read()
  const fromMs = Date.now()
  let before = first
  let busiestSecond = 0
  for (let passedMs = 0; passedMs < durationMs; passedMs += SAMPLE_MS) {
    await sleep(SAMPLE_MS)
    const now = read()
    busiestSecond = Math.max(busiestSecond, ...now.map((count, index) => count - (before[index] ?? 0)))
    before = now
  }
  const toMs = Date.now()
  const withTraffic = backends
    .map(({ id }, index) => ({ id, probes: (before[index] ?? 0) - (first[index] ?? 0) }))
    .filter(({ id }) => hadSteadyTraffic(run, id, fromMs, toMs))
  const rates = before.map((count, index) => (count - (first[index] ?? 0)) / durationMs * 1000)
  return { mean: rates.reduce((sum, rate) => sum + rate, 0) / rates.length, max: Math.max(...rates), busiestSecond, withTraffic: { targets: withTraffic.length, probes: withTraffic.reduce((sum, { probes }) => sum + probes, 0) } }
}

/** Partitions the fleet and pauses, kills and replaces nodes while probes are counted. */
const injectFaults = async (run: FleetRun, durationMs: number): Promise<void> => {
  const { nodes } = run.fleet
  run.fleet.partition(nodes.filter((_, index) => index % 2 === 0))
  const [paused, killed] = [nodes[0], nodes[1]] as [FleetNode, FleetNode]
  paused.pause()
  await killed.kill()
  await run.fleet.add()
  await sleep(durationMs / 2)
  paused.resume()
  run.fleet.partition([])
  run.vmList.setStale(true)
  await sleep(durationMs / 2)
  run.vmList.setStale(false)
}

/** Sends requests through three nodes to all services until the signal is aborted. */
const sendTraffic = async (run: FleetRun, signal: AbortSignal): Promise<void> => {
  const urls = run.fleet.nodes.slice(0, 3).flatMap(node =>
    [...new Set(run.backends().map(({ vm }) => vm.service))].map(service => `http://${node.host}:${node.callerPort}/${service}/bench`))
  while (!signal.aborted) {
    await Promise.all(urls.map(async url => { await (await fetch(url).catch(() => undefined))?.arrayBuffer() }))
    await sleep(TRAFFIC_INTERVAL_MS)
  }
}

const runOnce = async (count: number, seed: number, options: BenchOptions): Promise<void> => {
  const run = await startFleetRun({ deployment: options.deployment, count, seed, targetsPerService: TARGETS_PER_SERVICE, proxied: true })
  try {
    const budget = run.settings.probesPerTargetPerS
    const report = (situation: string, rates: Rates): void => options.report({
      situation, seed, nodes: count, budget_per_target_per_s: budget, probes_per_target_per_s: rates.mean, probes_per_target_per_s_max: rates.max, busiest_second: rates.busiestSecond, targets_with_traffic: rates.withTraffic.targets, probes_on_them: rates.withTraffic.probes
    })
    await sleep(WARM_UP_MS)
    report('idle', await countProbes(run, WINDOW_MS))
    const [faulty] = await Promise.all([countProbes(run, WINDOW_MS), injectFaults(run, WINDOW_MS)])
    report('faults', faulty)
    const stop = new AbortController()
    const traffic = sendTraffic(run, stop.signal)
    await sleep(WARM_UP_MS / 2)
    const running = run.fleet.nodes.filter(node => node.process.isRunning())
    const [rates, usage] = await Promise.all([countProbes(run, WINDOW_MS), measureUsage(running, WINDOW_MS)])
    report('traffic', rates)
    options.report({ situation: 'control traffic under load', seed, nodes: count, bytes_per_s: usage.bytes_per_s, bytes_per_s_max: usage.bytes_per_s_max })
    stop.abort()
    await traffic
    const usages = await Promise.all(running.map(readUsage))
    options.report({ situation: 'whole run', seed, nodes: count, probes_over_cpu_share: usages.reduce((sum, { counters }) => sum + (counters.probes_over_cpu_share ?? 0), 0) })
  } finally {
    await run.close()
  }
}

/** Processor time of a probe in this process, including that of the backend server test double. */
const measureCost = async (options: BenchOptions): Promise<void> => {
  const run = await startFleetRun({ deployment: options.deployment, count: 1, seed: 1 })
  const runner = createProbeRunner(() => performance.now())
  try {
    const [backend] = run.backends()
    if (!backend) return
    const target = { id: backend.id, host: backend.host, port: backend.port, zone: 'z' }
    for (let warmUp = 0; warmUp < COST_PROBES; warmUp++) await runner.probe(target, '/health')
    const before = process.cpuUsage()
    for (let probe = 0; probe < COST_PROBES; probe++) await runner.probe(target, '/health')
    const { user, system } = process.cpuUsage(before)
    options.report({ situation: 'cost', cpu_ms_per_probe_and_answer: (user + system) / 1000 / COST_PROBES })
  } finally {
    await runner.close()
    await run.close()
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  await measureCost(options)
  for (const seed of options.seeds) for (const count of NODE_COUNTS) await runOnce(count, seed, options)
}
