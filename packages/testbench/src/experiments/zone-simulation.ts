/**
 * Simulation of traffic between availability zones: the nodes of each zone place
 * the requests of one service by load probes, with or without a limit on requests
 * that leave their zone. Counts what callers get and what crosses zones.
 */
import { createRandom, type Random } from '@wisteriavalve/common'
import { shareRetryLimits } from '@wisteriavalve/policy'
import { SAME_ZONE_ONE_WAY_MS, SERVICE_SIGMA, type SimulatedKind } from './deployments.js'
import { createNode, createNodeTable, type RequestResult } from './simulated-node.js'
import { createSimulatedPlacement, type SendProbe } from './simulated-placement.js'
import { createSimulatedTarget } from './simulated-target.js'
import { createSimulationClock, type SimulationClock } from './simulation-clock.js'

export type ZoneKind = Required<SimulatedKind> & { serviceMs: number }

export type ZoneSimulationOptions = {
  /** Number of targets in each zone. */
  zoneTargets: readonly number[]
  /** Requests per second that reach the nodes of a zone. */
  ratePerS: (zone: number, nowMs: number) => number
  kinds: readonly ZoneKind[]
  slots: number
  nodesPerZone: number
  oneWayMs: number
  probesPerTargetPerS: number
  durationMs: number
  seed: number
  /** Time at which the targets of the first zone are lost. */
  lossMs?: number
  crossZoneMsPerKb?: number
}

export type ZoneSimulationResult = {
  requests: number
  withinObjective: number
  late: number
  /** Refused or failed. */
  refused: number
  crossedRequests: number
  crossedBytes: number
  /** Changes of the direction of the net flow between two zones, from one window to the next. */
  directionChanges: number
  /** Largest change of the share of a node, and number of its changes. */
  shareStepMax: number
  shareChanges: number
}

/** Retry budget of the deployments: a share of the requests, and some retries on top for each node. */
const RETRY_SHARE = 0.2
const RETRIES_PER_NODE = 1.5
const PROBE_TIMEOUT_MS = 30
const WARM_UP_MS = 2_000
const FLOW_WINDOW_MS = 500
/** A smaller net flow has no direction. */
const FLOW_REQUESTS_MIN = 3
/** A quarter of the targets is five times slower, and another quarter about each 150 ms. */
const NEIGHBOURS = { quietMs: 450, noisyMs: 150, slowdown: 5 }

const drawWorkMs = (kind: ZoneKind, random: Random): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return kind.serviceMs * Math.exp(SERVICE_SIGMA * normal)
}

const pickKind = (kinds: readonly ZoneKind[], random: Random): ZoneKind => {
  let left = random.next()
  return kinds.find(({ share }) => (left -= share) < 0) ?? kinds[0] as ZoneKind
}

const createFlows = () => {
  const flows = new Map<string, Map<number, number>>()
  return {
    add: (from: string, to: string, nowMs: number): void => {
      const key = from < to ? `${from} ${to}` : `${to} ${from}`
      const windows = flows.get(key) ?? new Map<number, number>()
      flows.set(key, windows)
      const window = Math.floor(nowMs / FLOW_WINDOW_MS)
      windows.set(window, (windows.get(window) ?? 0) + (from < to ? 1 : -1))
    },
    directionChanges: (): number => [...flows.values()].reduce((sum, windows) => {
      const signs = [...windows].sort(([a], [b]) => a - b).map(([, flow]) => flow).filter(flow => Math.abs(flow) >= FLOW_REQUESTS_MIN).map(Math.sign)
      return sum + signs.filter((sign, index) => index > 0 && sign !== signs[index - 1]).length
    }, 0)
  }
}

const startArrivals = (clock: SimulationClock, random: Random, kinds: readonly ZoneKind[], ratePerS: (nowMs: number) => number, accept: (kind: ZoneKind, workMs: number) => void): void => {
  const next = (): void => {
    const kind = pickKind(kinds, random)
    accept(kind, drawWorkMs(kind, random))
    schedule()
  }
  const schedule = (): void => clock.at(clock.nowMs() - Math.log(1 - random.next()) * 1_000 / ratePerS(clock.nowMs()), next)
  schedule()
}

export const simulateZones = (options: ZoneSimulationOptions): ZoneSimulationResult => {
  const { zoneTargets, slots, nodesPerZone, seed } = options
  const nodeCount = zoneTargets.length * nodesPerZone
  const clock = createSimulationClock()
  const flows = createFlows()
  const result: ZoneSimulationResult = { requests: 0, withinObjective: 0, late: 0, refused: 0, crossedRequests: 0, crossedBytes: 0, directionChanges: 0, shareStepMax: 0, shareChanges: 0 }
  const targets = zoneTargets.flatMap((count, zone) => Array.from({ length: count }, (_, index) => ({
    target: { id: `${zone}-${index}`, host: '127.0.0.1', port: 9000 + index, zone: `zone-${zone}` },
    simulated: createSimulatedTarget(clock, {
      slots,
      neighbours: NEIGHBOURS,
      slowdown: 1,
      slowFromMs: Infinity,
      failFastFromMs: Infinity,
      crashFromMs: zone === 0 ? options.lossMs ?? Infinity : Infinity,
      drainFromMs: Infinity,
      queuePerSlot: 0
    }, seed * 1_000 + zone * 100 + index)
  })))
  const zoneOf = new Map(targets.map(({ target }) => [target.id, target.zone]))

  const record = (zone: string, { kind, startedMs, latencyMs, outcome, targetIds }: RequestResult): void => {
    if (startedMs < WARM_UP_MS) return
    const isOk = outcome === 'ok'
    result.requests++
    if (!isOk) result.refused++
    else if (latencyMs <= (kind.objectiveMs ?? kind.deadlineMs)) result.withinObjective++
    else result.late++
    targetIds.forEach((targetId, index) => {
      const targetZone = zoneOf.get(targetId) as string
      if (targetZone === zone) return
      result.crossedRequests++
      result.crossedBytes += (kind.requestBytes ?? 0) + (isOk && index === targetIds.length - 1 ? kind.responseBytes ?? 0 : 0)
      flows.add(zone, targetZone, startedMs)
    })
  }

  const sendProbe: SendProbe = ({ target, oneWayMs }, onResult) => {
    const sentMs = clock.nowMs()
    clock.at(sentMs + oneWayMs, () => {
      const report = target.report()
      clock.at(report ? clock.nowMs() + oneWayMs : sentMs + PROBE_TIMEOUT_MS, () => onResult(report))
    })
  }

  const recordShares = (): (share: number) => void => {
    let last: number | undefined
    return share => {
      const step = Math.abs(share - (last ?? share))
      last = share
      result.shareStepMax = Math.max(result.shareStepMax, step)
      if (step > 0) result.shareChanges++
    }
  }

  const startNode = (zoneIndex: number, node: number): void => {
    const zone = `zone-${zoneIndex}`
    const table = createNodeTable('service', slots, slots)
    table.setTargets(targets.map(({ target }) => target), -100_000)
    const reachable = new Map(targets.map(({ target, simulated }) => [target.id, { target: simulated, oneWayMs: target.zone === zone ? SAME_ZONE_ONE_WAY_MS : options.oneWayMs }]))
    const nodeSeed = seed * 104_729 + zoneIndex * 100 + node
    const { accept } = createNode({
      clock,
      random: createRandom(nodeSeed),
      zone,
      policy: 'adaptive',
      isHedgingEnabled: false,
      exactReports: false,
      table,
      targets: reachable,
      placement: createSimulatedPlacement({
        clock,
        random: createRandom(nodeSeed + 50),
        zone,
        table,
        targets: reachable,
        nodeCount,
        probesPerTargetPerS: options.probesPerTargetPerS,
        sendProbe,
        crossZoneMsPerKb: options.crossZoneMsPerKb,
        onShare: recordShares()
      }),
      retryLimits: shareRetryLimits(RETRY_SHARE, RETRIES_PER_NODE * nodeCount, () => nodeCount),
      record: request => record(zone, request)
    })
    startArrivals(clock, createRandom(seed * 15_485_863 + zoneIndex * 100 + node), options.kinds, nowMs => options.ratePerS(zoneIndex, nowMs) / nodesPerZone, accept)
  }

  zoneTargets.forEach((_, zone) => { for (let node = 0; node < nodesPerZone; node++) startNode(zone, node) })
  clock.runUntil(options.durationMs)
  result.directionChanges = flows.directionChanges()
  return result
}
