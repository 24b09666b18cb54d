/**
 * Simulation of one service with too little capacity: generates the load
 * scenarios of docs/design/README.md, part 4, at the nodes of a deployment and
 * counts what the callers of each kind get.
 */
import { createRandom, type Random } from '@wisteriavalve/common'
import { createScarcity } from '@wisteriavalve/policy'
import type { SimulatedKind } from './deployments.js'
import { createNode, createNodeTable, type RequestResult } from './simulated-node.js'
import { createSimulatedPlacement, type SendProbe } from './simulated-placement.js'
import { createSimulatedTarget } from './simulated-target.js'
import { createSimulationClock, type SimulationClock } from './simulation-clock.js'

export type ScarceKind = SimulatedKind & {
  objectiveMs: number
  serviceMs: number
  /** Share of the slots that the kind takes before the burst, at the usual speed. */
  loadShare: number
  /** Factor on the arrival rate during the burst. */
  burst: number
  /** Whether callers repeat a refused request at once, instead of giving up. */
  isRepeated?: boolean
}

export type ScarceDeployment = {
  zones: string[]
  nodes: number
  targets: number
  slots: number
  crossZoneOneWayMs: number
  whenFull: 'reset' | 'refused'
  probesPerTargetPerS: number
}

export type ScarcityOptions = {
  deployment: ScarceDeployment
  kinds: ScarceKind[]
  seed: number
  isEnabled: boolean
  /** Share of the targets that crash, or become 10 times slower, at the start of the burst. */
  crashedShare?: number
  slowedShare?: number
  /** Whether load probes are unanswered during the burst. */
  hasNoReports?: boolean
}

export type ScarceCounts = {
  requests: number
  inTime: number
  late: number
  refused: number
  failed: number
  wronglyNotRun: number
  refusalMs: number[]
  retryAfterMs: number[]
}

export const BURST_START_MS = 3_000
export const BURST_END_MS = 9_000
const END_MS = 12_000
const SAME_ZONE_ONE_WAY_MS = 0.1
/** A quarter of the targets is 5 times slower, redrawn about every 150 ms. */
const NEIGHBOURS = { quietMs: 450, noisyMs: 150, slowdown: 5 }
const SERVICE_SIGMA = 0.2
const SLOWED = 10
/** A caller that repeats at once stops after this many attempts. */
const REPEATS_MAX = 10
const REPEAT_PAUSE_MS = 2
/** Time that a target takes for a load report. */
const PROBE_MS = 1
const PROBE_TIMEOUT_MS = 30

const drawExponentialMs = (meanMs: number, random: Random): number => -meanMs * Math.log(1 - random.next())

const drawWorkMs = (medianMs: number, random: Random): number =>
  medianMs * Math.exp(SERVICE_SIGMA * Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next()))

const createCounts = (): ScarceCounts => ({ requests: 0, inTime: 0, late: 0, refused: 0, failed: 0, wronglyNotRun: 0, refusalMs: [], retryAfterMs: [] })

/**
 * Time of the next arrival: the time that the arrivals take at the usual rate is
 * drawn, and passes faster during the burst, also for an arrival that was drawn
 * before it.
 */
const nextArrivalMs = (nowMs: number, meanMs: number, burst: number, random: Random): number => {
  let atMs = nowMs
  let leftMs = drawExponentialMs(meanMs, random)
  for (const { endMs, rate } of [{ endMs: BURST_START_MS, rate: 1 }, { endMs: BURST_END_MS, rate: burst }]) {
    if (atMs >= endMs) continue
    if (leftMs <= (endMs - atMs) * rate) return atMs + leftMs / rate
    leftMs -= (endMs - atMs) * rate
    atMs = endMs
  }
  return atMs + leftMs
}

/** Counts the first attempt of each call; a repeated request is load, and not a further call. */
const count = (counts: ScarceCounts, { objectiveMs }: ScarceKind, { outcome, latencyMs, retryAfterMs, runs }: RequestResult): void => {
  counts.requests++
  if (outcome === 'ok' && latencyMs <= objectiveMs) counts.inTime++
  else if (outcome === 'ok') counts.late++
  else if (outcome === 'not-run') {
    counts.refused++
    counts.refusalMs.push(latencyMs)
    if (runs > 0) counts.wronglyNotRun++
    if (retryAfterMs !== undefined) counts.retryAfterMs.push(retryAfterMs)
  } else counts.failed++
}

const createTargets = (clock: SimulationClock, { deployment, seed, crashedShare = 0, slowedShare = 0 }: ScarcityOptions) =>
  Array.from({ length: deployment.targets }, (_, index) => ({
    // The targets are distributed unevenly over the zones.
    target: { id: `t${index}`, host: '127.0.0.1', port: 9_000 + index, zone: deployment.zones[Math.floor((index / deployment.targets) ** 2 * deployment.zones.length)] as string },
    simulated: createSimulatedTarget(clock, {
      slots: deployment.slots,
      neighbours: NEIGHBOURS,
      slowdown: SLOWED,
      slowFromMs: index % 100 / 100 < slowedShare ? BURST_START_MS : Infinity,
      crashFromMs: (index * 7) % deployment.targets < crashedShare * deployment.targets ? BURST_START_MS : Infinity,
      drainFromMs: Infinity,
      failFastFromMs: Infinity,
      whenFull: deployment.whenFull
    }, seed * 1_000 + index)
  }))

export const simulateScarcity = (options: ScarcityOptions): Map<string, ScarceCounts> => {
  const { deployment, kinds, seed, isEnabled } = options
  const clock = createSimulationClock()
  const targets = createTargets(clock, options)
  const counts = new Map(kinds.map(({ name }) => [name, createCounts()]))
  let callSequence = 0

  const isBurst = (): boolean => clock.nowMs() >= BURST_START_MS && clock.nowMs() < BURST_END_MS

  const sendProbe: SendProbe = ({ target, oneWayMs }, onResult) => {
    const isAnswered = !(options.hasNoReports && isBurst())
    const report = isAnswered ? target.report() : undefined
    // A crashed target refuses the connection.
    clock.at(clock.nowMs() + (isAnswered ? 2 * oneWayMs + PROBE_MS : PROBE_TIMEOUT_MS), () => onResult(report))
  }

  const startNode = (node: number): void => {
    const zone = deployment.zones[node % deployment.zones.length] as string
    const table = createNodeTable('s', deployment.slots, 2 * deployment.slots)
    const pending: Array<(result: RequestResult) => void> = []
    table.setTargets(targets.map(({ target }) => target), 0)
    const random = createRandom(seed * 104_729 + node)
    const reachable = new Map(targets.map(({ target, simulated }) => [target.id, { target: simulated, oneWayMs: target.zone === zone ? SAME_ZONE_ONE_WAY_MS : deployment.crossZoneOneWayMs }]))
    const { accept } = createNode({
      clock,
      random,
      zone,
      policy: 'adaptive',
      isHedgingEnabled: false,
      exactReports: false,
      table,
      targets: reachable,
      record: result => pending[result.sequence]?.(result),
      placement: createSimulatedPlacement({
        clock,
        random,
        zone,
        table,
        targets: reachable,
        nodeCount: deployment.nodes,
        probesPerTargetPerS: deployment.probesPerTargetPerS,
        sendProbe,
        ...(isEnabled && { scarcity: createScarcity() })
      })
    })

    const call = (kind: ScarceKind, workMs: number, identity: string, repeats: number): void => {
      pending.push(result => {
        if (repeats === 0 && result.startedMs >= BURST_START_MS && result.startedMs < BURST_END_MS) count(counts.get(kind.name) as ScarceCounts, kind, result)
        if (kind.isRepeated && result.outcome === 'not-run' && repeats < REPEATS_MAX) clock.at(clock.nowMs() + REPEAT_PAUSE_MS, () => call(kind, workMs, identity, repeats + 1))
      })
      accept(kind, workMs, identity)
    }

    for (const [index, kind] of kinds.entries()) {
      const random = createRandom(seed * 15_485_863 + node * 10 + index)
      const meanMs = deployment.nodes * kind.serviceMs / (kind.loadShare * deployment.targets * deployment.slots)
      const next = (): void => {
        call(kind, drawWorkMs(kind.serviceMs, random), `call-${callSequence++}`, 0)
        schedule()
      }
      const schedule = (): void => clock.at(nextArrivalMs(clock.nowMs(), meanMs, kind.burst, random), next)
      schedule()
    }
  }

  for (let node = 0; node < deployment.nodes; node++) startNode(node)
  clock.runUntil(END_MS)
  return counts
}
