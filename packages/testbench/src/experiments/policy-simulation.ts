/**
 * Simulation of a routing policy on a virtual clock: the nodes of a deployment
 * (20 by default) send its requests to simulated targets. Latency is measured at
 * the caller from the intended start and includes the network time between caller
 * and node. A request that fails counts with its full deadline.
 */
import { createRandom, type Random } from '@wisteriavalve/common'
import { connectionShare, type PolicyName } from '@wisteriavalve/policy'
import { build, type Histogram } from 'hdr-histogram-js'
import { deployments, kinds, meanServiceMs, SERVICE_MEDIAN_MS, SERVICE_SIGMA, SAME_ZONE_ONE_WAY_MS, type Deployment, type SimulatedKind, type SimulatedService } from './deployments.js'
import { createNode, createNodeTable, type RequestResult } from './simulated-node.js'
import { createSimulatedTarget, type Neighbours, type TargetBehaviour } from './simulated-target.js'
import { createSimulationClock, type SimulationClock } from './simulation-clock.js'

export type Scenario = 'noisy' | 'straggler' | 'faults' | 'overload'

export type SimulationOptions = {
  deployment: keyof typeof deployments
  scenario: Scenario
  policy: PolicyName
  isHedgingEnabled: boolean
  loadShare: number
  neighbours: Neighbours
  seed: number
  durationMs: number
  /** Whether every selection uses the current load of all targets. Shows the effect of perfect load reports. */
  exactReports: boolean
  /** Number of nodes; by default that of the deployment. */
  nodes?: number
}

export type KindCounts = { requests: number, inTime: number, refused: number, latencyUs: Histogram }

export type SimulationResult = {
  latencyUs: Histogram
  refusalUs: Histogram
  /** Latencies per second of the run. */
  bySecondUs: Histogram[]
  kinds: Map<string, KindCounts>
  requests: number
  ok: number
  hedged: number
  extraAttempts: number
  /** Non-idempotent requests that ran more than once. */
  repeated: number
  /** Requests that were reported as not-run but had run. */
  wronglyNotRun: number
  lateAfterDrain: number
}

const WARM_UP_MS = 1500
/** Time at which the faults of the scenarios `straggler` and `faults` start. */
export const FAULT_START_MS = 3000
/** Noisy phases of some milliseconds, shorter and longer than the service time of a request. */
export const neighbourPresets = {
  short: { quietMs: 200, noisyMs: 25, slowdown: 4 },
  long: { quietMs: 667, noisyMs: 83, slowdown: 4 },
  strong: { quietMs: 667, noisyMs: 83, slowdown: 10 }
} satisfies Record<string, Neighbours>
const STRAGGLER_SLOWDOWN = 10
/** Maximum relative deviation of the load of a node from the mean. Callers send different amounts of load, so nodes get unequal shares. */
const NODE_WEIGHT_SPREAD = 0.3

const drawExponentialMs = (meanMs: number, random: Random): number => -meanMs * Math.log(1 - random.next())

/** Log-normal service time. */
const drawServiceTimeMs = (random: Random): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return SERVICE_MEDIAN_MS * Math.exp(SERVICE_SIGMA * normal)
}

const behaviourOf = ({ scenario, neighbours }: SimulationOptions, serviceIndex: number, index: number, slots: number): TargetBehaviour => ({
  slots,
  neighbours,
  slowdown: STRAGGLER_SLOWDOWN,
  slowFromMs: scenario === 'straggler' && index === 1 ? FAULT_START_MS : Infinity,
  crashFromMs: scenario === 'faults' && serviceIndex === 0 && index === 0 ? FAULT_START_MS : Infinity,
  drainFromMs: scenario === 'faults' && serviceIndex === 0 && index === 1 ? FAULT_START_MS : Infinity,
  failFastFromMs: scenario === 'faults' && serviceIndex === 0 && index === 2 ? FAULT_START_MS : Infinity
})

const pickKind = (random: Random): SimulatedKind => {
  let remainingShare = random.next()
  for (const kind of kinds) {
    remainingShare -= kind.share
    if (remainingShare < 0) return kind
  }
  return kinds[0] as SimulatedKind
}

const createHistogram = (): Histogram => build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })

const createResult = (durationMs: number): SimulationResult => ({
  latencyUs: createHistogram(),
  refusalUs: createHistogram(),
  bySecondUs: Array.from({ length: Math.ceil(durationMs / 1000) + 1 }, createHistogram),
  kinds: new Map(kinds.map(kind => [kind.name, { requests: 0, inTime: 0, refused: 0, latencyUs: createHistogram() }])),
  requests: 0,
  ok: 0,
  hedged: 0,
  extraAttempts: 0,
  repeated: 0,
  wronglyNotRun: 0,
  lateAfterDrain: 0
})

const recordResult = (result: SimulationResult, callerOneWayMs: number, request: RequestResult): void => {
  if (request.startedMs < WARM_UP_MS) return
  const counts = result.kinds.get(request.kind.name) as KindCounts
  const ok = request.outcome === 'ok'
  const latencyMs = (ok ? request.latencyMs : request.kind.deadlineMs) + 2 * callerOneWayMs
  counts.requests++
  result.requests++
  if (ok) { counts.inTime++; result.ok++ }
  if (request.attempts === 0 && !ok) {
    counts.refused++
    result.refusalUs.recordValue(Math.round(request.latencyMs * 1000) + 1)
  }
  if (request.isHedged) result.hedged++
  result.extraAttempts += Math.max(0, request.attempts - 1)
  if (!request.kind.idempotent && request.runs > 1) result.repeated++
  if (request.outcome === 'not-run' && request.runs > 0) result.wronglyNotRun++
  counts.latencyUs.recordValue(Math.round(latencyMs * 1000))
  result.latencyUs.recordValue(Math.round(latencyMs * 1000))
  result.bySecondUs[Math.floor(request.startedMs / 1000)]?.recordValue(Math.round(latencyMs * 1000))
}

const createTargets = (clock: SimulationClock, options: SimulationOptions, deployment: Deployment, service: SimulatedService, serviceIndex: number) =>
  Array.from({ length: service.targets }, (_, index) => ({
    target: { id: `${service.name}-${index}`, host: '127.0.0.1', port: 9000 + index, zone: deployment.zones[index % deployment.zones.length] as string },
    simulated: createSimulatedTarget(clock, behaviourOf(options, serviceIndex, index, service.slots), options.seed * 1000 + serviceIndex * 100 + index)
  }))

/** Poisson arrivals at one node. The sequence of requests depends only on the random source, not on the policy. */
const startArrivals = (clock: SimulationClock, random: Random, ratePerMs: number, accept: (kind: SimulatedKind, workMs: number) => void): void => {
  const next = (): void => {
    const kind = pickKind(random)
    accept(kind, drawServiceTimeMs(random))
    clock.at(clock.nowMs() + drawExponentialMs(1 / ratePerMs, random), next)
  }
  clock.at(drawExponentialMs(1 / ratePerMs, random), next)
}

const startService = (
  clock: SimulationClock, options: SimulationOptions, deployment: Deployment, serviceIndex: number, result: SimulationResult
): (() => void) => {
  const service = deployment.services[serviceIndex] as SimulatedService
  const targets = createTargets(clock, options, deployment, service, serviceIndex)
  const random = createRandom(options.seed * 7919 + serviceIndex)
  const weights = Array.from({ length: deployment.nodes }, () => 1 + NODE_WEIGHT_SPREAD * (2 * random.next() - 1))
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0)
  const ratePerMs = options.loadShare * service.targets * service.slots / meanServiceMs
  weights.forEach((weight, node) => {
    const zone = deployment.zones[node % deployment.zones.length] as string
    const table = createNodeTable(service.name, service.slots, connectionShare(service.connections, deployment.entryVmCountMax))
    table.setTargets(targets.map(({ target }) => target), 0)
    const { accept } = createNode({
      clock,
      random: createRandom(options.seed * 104729 + serviceIndex * 100 + node),
      zone,
      policy: options.policy,
      isHedgingEnabled: options.isHedgingEnabled,
      exactReports: options.exactReports,
      table,
      targets: new Map(targets.map(({ target, simulated }) =>
        [target.id, { target: simulated, oneWayMs: target.zone === zone ? SAME_ZONE_ONE_WAY_MS : deployment.crossZoneOneWayMs }])),
      record: request => recordResult(result, deployment.callerOneWayMs, request)
    })
    startArrivals(clock, createRandom(options.seed * 15485863 + serviceIndex * 100 + node), ratePerMs * weight / weightSum, accept)
  })
  return () => { for (const { simulated } of targets) result.lateAfterDrain += simulated.counts.lateAfterDrain }
}

export const simulate = (options: SimulationOptions): SimulationResult => {
  const clock = createSimulationClock()
  const deployment: Deployment = { ...deployments[options.deployment], ...(options.nodes ? { nodes: options.nodes } : {}) }
  const result = createResult(options.durationMs)
  const finishers = deployment.services.map((_, index) => startService(clock, options, deployment, index, result))
  clock.runUntil(options.durationMs)
  for (const finish of finishers) finish()
  return result
}
