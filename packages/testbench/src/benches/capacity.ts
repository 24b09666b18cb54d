/**
 * Bench of the costs that docs/CAPACITY.md extrapolates: time and memory of the
 * decision logic per target, service and configuration change, in one process
 * and without I/O.
 */
import { performance } from 'node:perf_hooks'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createRandom, type Random } from '@wisteriavalve/common'
import { createConfigurationState, createProbePlanner, type ConfigurationState, type HeadCandidate } from '@wisteriavalve/fleet'
import { createTargetTable, selectTarget, type TargetTable } from '@wisteriavalve/policy'
import { generateConfiguration, type ConfigurationValue } from '@wisteriavalve/questionnaire'
import type { Answers, KindAnswers, ServiceAnswers, Target } from '@wisteriavalve/schema'
import type { BenchOptions } from './types.js'

export const description = 'time and memory of the decision logic per target, service and configuration change'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const SLOTS = 4
const CONNECTION_SHARE = 12
const SERVICE_TIME_MS = 20
const ENTRY_VM_COUNT_MAX = 24
const ROUTED_REQUESTS = 200_000
const TARGETS_PER_SERVICE = 14_000 / 2200
const CHANGES = 50

const collectGarbage = ((): (() => void) => {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
})()

const memoryBytes = (): number => {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

const createTargets = (count: number): Target[] => Array.from({ length: count }, (_, index) => ({
  id: `target-${index}`, host: `10.0.${index >> 8}.${index & 255}`, port: 9000, zone: ZONES[index % ZONES.length] as string
}))

const createTable = (targetCount: number): TargetTable => {
  const table = createTargetTable({ service: 'service', slotsPerTarget: SLOTS, connectionShare: CONNECTION_SHARE })
  table.setTargets(createTargets(targetCount), 0)
  return table
}

/** Simulates one request, from target selection to the end of the response, with a load report. */
const routeRequest = (table: TargetTable, nowMs: number, random: Random): void => {
  const selection = selectTarget('adaptive', table, { zone: 'zone-a', exclude: new Set() }, nowMs, random)
  if (!selection.ok) return
  table.recordStart(selection.targetId, nowMs)
  const endMs = nowMs + SERVICE_TIME_MS * (0.5 + random.next())
  table.recordLoadReport(selection.targetId, { inFlight: random.int(SLOTS), slots: SLOTS }, endMs)
  table.recordFirstByte(selection.targetId, endMs - nowMs, endMs)
  table.recordOutcome(selection.targetId, 'ok', endMs - nowMs, endMs)
}

const routeMany = (table: TargetTable, count: number, random: Random): number => {
  let nowMs = 10_000
  const startMs = performance.now()
  for (let index = 0; index < count; index++) routeRequest(table, nowMs += 0.5, random)
  return performance.now() - startMs
}

const measureRouting = (options: BenchOptions, seed: number): void => {
  for (const targets of [6, 16, 64, 256]) {
    const table = createTable(targets)
    const random = createRandom(seed)
    routeMany(table, ROUTED_REQUESTS / 10, random)
    const durationMs = routeMany(table, ROUTED_REQUESTS, random)
    options.report({ measure: 'routing', seed, targets, us_per_request: durationMs * 1000 / ROUTED_REQUESTS })
  }
}

const measureTargetMemory = (options: BenchOptions, seed: number): void => {
  const random = createRandom(seed)
  for (const targets of [1000, 4000, 14_000]) {
    const before = memoryBytes()
    const tables = Array.from({ length: Math.round(targets / TARGETS_PER_SERVICE) }, () => createTable(Math.round(TARGETS_PER_SERVICE)))
    for (const table of tables) routeMany(table, 200, random)
    const used = memoryBytes() - before
    options.report({ measure: 'target-memory', seed, targets, services: tables.length, bytes_per_target: used / targets, total_mb: used / 1e6 })
  }
}

const createKind = (service: string, name: string): KindAnswers => ({
  name, methods: [name === 'read' ? 'GET' : 'POST'], path: `/${service}/${name}/**`, idempotent: name === 'read', deadlineMs: 800
})

const createService = (index: number): ServiceAnswers => {
  const name = `service-${index}`
  return {
    name,
    slotsPerTarget: SLOTS,
    connectionsPerTarget: 300,
    kinds: [createKind(name, 'read'), createKind(name, 'write'), createKind(name, 'upload')]
  }
}

const createAnswers = (serviceCount: number): Answers => ({
  format: 1,
  fleet: 'design-size',
  region: 'region-1',
  zones: ZONES as [string, ...string[]],
  entryVms: { count: 20, replacementOverlap: 4 },
  measuring: { probesPerTargetPerS: 1 },
  services: Array.from({ length: serviceCount }, (_, index) => createService(index)) as [ServiceAnswers, ...ServiceAnswers[]]
})

const hashOf = ({ key }: ConfigurationValue): string => key.slice(key.lastIndexOf('/') + 1)

const toHead = (values: readonly ConfigurationValue[], revision: number): HeadCandidate =>
  ({ restoreCount: 0, revision, bytes: values.at(-1)?.bytes as Buffer, source: 'service' })

/** Offers a head and provides the values that the state requests. @returns the number of bytes fetched */
const adopt = (state: ConfigurationState, head: HeadCandidate, values: ReadonlyMap<string, Uint8Array>): number => {
  let bytes = head.bytes.length
  let step = state.offerHead(head)
  while (step.step === 'fetch') {
    for (const hash of step.hashes) {
      const value = values.get(hash) as Uint8Array
      bytes += value.length
      step = state.provideValue(hash, value)
    }
  }
  if (step.step !== 'adopted') throw new Error(`the configuration was not adopted: ${step.step}`)
  return bytes
}

const valuesByHash = (values: readonly ConfigurationValue[]): Map<string, Uint8Array> =>
  new Map(values.map(value => [hashOf(value), value.bytes]))

/** @param served services that the node serves; empty for all */
const measureChanges = (options: BenchOptions, seed: number, serviceCount: number, served: string[]): void => {
  const answers = createAnswers(serviceCount)
  const first = generateConfiguration(answers)
  const before = memoryBytes()
  const state = createConfigurationState({ fleet: answers.fleet, services: served })
  const startMs = performance.now()
  const fullBytes = adopt(state, toHead(first, 1), valuesByHash(first))
  const fullMs = performance.now() - startMs
  const memory = memoryBytes() - before
  let changeBytes = 0
  let changeMs = 0
  for (let change = 0; change < CHANGES; change++) {
    const kind = answers.services[change % serviceCount]?.kinds[0]
    if (kind) kind.deadlineMs = 900 + change
    const values = generateConfiguration(answers)
    const byHash = valuesByHash(values)
    const changeStartMs = performance.now()
    changeBytes += adopt(state, toHead(values, 2 + change), byHash)
    changeMs += performance.now() - changeStartMs
  }
  options.report({
    measure: 'configuration',
    seed,
    services: serviceCount,
    served: served.length || serviceCount,
    full_bytes: fullBytes,
    full_ms: fullMs,
    memory_mb: memory / 1e6,
    bytes_per_change: changeBytes / CHANGES,
    ms_per_change: changeMs / CHANGES
  })
}

const measureConfiguration = (options: BenchOptions, seed: number): void => {
  for (const services of [20, 220, 1100, 2200]) measureChanges(options, seed, services, [])
  for (const served of [20, 110, 220]) measureChanges(options, seed, 2200, Array.from({ length: served }, (_, index) => `service-${index}`))
}

const measureProbePlanning = (options: BenchOptions, seed: number): void => {
  const ROUNDS = 200
  for (const targets of [30, 1400, 14_000]) {
    const planner = createProbePlanner({ probesPerTargetPerS: 1, entryVmCountMax: ENTRY_VM_COUNT_MAX, random: createRandom(seed) })
    const candidates = createTargets(targets).map(({ id }) => ({ targetId: id }))
    const startMs = performance.now()
    for (let round = 0; round < ROUNDS; round++) planner.next(candidates, round * 100)
    options.report({ measure: 'probe-planning', seed, targets, us_per_target_and_round: (performance.now() - startMs) * 1000 / ROUNDS / targets })
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) {
    measureRouting(options, seed)
    measureTargetMemory(options, seed)
    measureConfiguration(options, seed)
    measureProbePlanning(options, seed)
  }
}
