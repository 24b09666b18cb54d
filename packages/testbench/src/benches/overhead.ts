/**
 * Bench of the latency and processor time that the daemon adds to a request. The
 * same requests are sent on three routes: directly to a backend server test double,
 * through a minimal proxy of node:http and undici, and through one real daemon
 * process.
 */
import type { Histogram } from 'hdr-histogram-js'
import { createConfiguration, createFleetSettings, createKind, createService } from '../configuration.js'
import type { Row } from '../format-row.js'
import { startFleet } from '../fleet-harness.js'
import { allocateLoopbackHost } from '../net.js'
import { createConfigurationService } from '../platform/configuration-service.js'
import { createVmList } from '../platform/vm-list.js'
import { processorTimeMs, startChild } from './overhead/child.js'
import { createHistogram, runOpenLoop, type Route, type RouteResult } from './overhead/open-loop.js'
import type { BenchOptions } from './types.js'

export const description = 'latency and processor time that one daemon adds to a request'

const TARGETS = 4
const RATES_PER_S = [100, 250, 500, 1000]
const WARM_UP_MS = 4000
const WARM_UP_RATE_PER_S = 1000
const DURATION_MS = 8000
const ADDED_P99_MAX_MS = 0.84
/** A slice counts as quiet when the p99 of the direct route is at most this. */
const QUIET_P99_MS = 1
const PERCENTILES = [['p50', 50], ['p99', 99], ['p999', 99.9]] as const
const SETTINGS = createFleetSettings('overhead', ['a'], { entryVmCountMax: 1 })
const KINDS = [createKind({ name: 'read' }), createKind({ name: 'order', methods: ['POST'], idempotent: false })] as const

type Deployment = { routes: Route[], pids: Record<string, number>, close: () => Promise<void> }

const start = async (seed: number): Promise<Deployment> => {
  const host = allocateLoopbackHost()
  const standIn = await startChild('stand-in', [host, String(TARGETS)])
  const origins = standIn.ports.map(port => `http://${host}:${port}`)
  const bareHop = await startChild('bare-hop', [host, ...origins])
  const targets = standIn.ports.map((port, index) => ({ id: `t${index + 1}`, host, port, zone: 'a' }))
  const service = createService('bench', [...KINDS], { slotsPerTarget: 64, connectionsPerTarget: 64, targets })
  const configurationService = await createConfigurationService()
  configurationService.publish(createConfiguration(SETTINGS, [service]))
  const vmList = await createVmList()
  const fleet = await startFleet({ fleet: 'overhead', zones: ['a'], count: 1, configurationService, vmList, seed, settings: () => ({ LOG_LEVEL: 'warn' }) })
  await fleet.waitReady()
  const [node] = fleet.nodes
  if (!node) throw new Error('no node was started')
  return {
    routes: [
      { name: 'direct', origins },
      { name: 'bare-hop', origins: [`http://${host}:${bareHop.ports[0]}`] },
      { name: 'daemon', origins: [`http://${node.host}:${node.callerPort}`] }
    ],
    pids: { direct: standIn.pid, 'bare-hop': bareHop.pid, daemon: node.process.pid },
    close: async () => {
      await fleet.close()
      await Promise.all([configurationService.close(), vmList.close()])
      bareHop.close()
      standIn.close()
    }
  }
}

const percentileMs = (histogram: Histogram, percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000

const merge = ({ slices }: RouteResult, isChosen: (slice: number) => boolean): Histogram => {
  const merged = createHistogram()
  slices.forEach((histogram, slice) => { if (isChosen(slice)) merged.add(histogram) })
  return merged
}

/** Slices in which other processes did not disturb the direct route. */
const quietSlices = ({ slices }: RouteResult): Set<number> =>
  new Set(slices.flatMap((histogram, slice) => percentileMs(histogram, 99) <= QUIET_P99_MS ? [slice] : []))

const latencies = (result: RouteResult, direct: RouteResult, prefix: string, isChosen: (slice: number) => boolean): Row => {
  const routeHistogram = merge(result, isChosen)
  const directHistogram = merge(direct, isChosen)
  return Object.fromEntries(PERCENTILES.flatMap(([name, percentile]) => [
    [`${prefix}${name}_ms`, percentileMs(routeHistogram, percentile)],
    [`${prefix}added_${name}_ms`, percentileMs(routeHistogram, percentile) - percentileMs(directHistogram, percentile)]
  ]))
}

const readTimes = async (pids: Deployment['pids']): Promise<Record<string, number>> =>
  Object.fromEntries(await Promise.all(Object.entries(pids).map(async ([name, pid]) => [name, await processorTimeMs(pid)])))

const measure = async ({ routes, pids }: Deployment, ratePerS: number, seed: number, report: BenchOptions['report']): Promise<void> => {
  const before = await readTimes(pids)
  const results = await runOpenLoop({ routes, ratePerS, durationMs: DURATION_MS, seed, path: '/bench/item/7' })
  const after = await readTimes(pids)
  const [direct] = results
  if (!direct) return
  const quiet = quietSlices(direct)
  for (const result of results) {
    const quietRow = latencies(result, direct, 'quiet_', slice => quiet.has(slice))
    report({
      way: result.name,
      rate_per_s: ratePerS,
      seed,
      requests: result.requests,
      failures: result.failures,
      cpu_us_per_request: result === direct ? undefined : 1000 * ((after[result.name] ?? 0) - (before[result.name] ?? 0)) / result.requests,
      quiet_share: quiet.size / direct.slices.length,
      ...(quiet.size > 0 ? quietRow : {}),
      ...latencies(result, direct, '', () => true),
      within_budget: result.name === 'daemon' && quiet.size > 0 ? Number(quietRow.quiet_added_p99_ms) <= ADDED_P99_MAX_MS : undefined
    })
  }
}

export const run = async ({ seeds, report }: BenchOptions): Promise<void> => {
  for (const seed of seeds) {
    const deployment = await start(seed)
    try {
      await runOpenLoop({ routes: deployment.routes, ratePerS: WARM_UP_RATE_PER_S, durationMs: WARM_UP_MS, seed: seed + 1000, path: '/bench/item/7' })
      for (const ratePerS of RATES_PER_S) await measure(deployment, ratePerS, seed, report)
    } finally {
      await deployment.close()
    }
  }
}
