/**
 * Runs the planned probes and reports their results. The number of probes a
 * second is bounded by the share of the processor that the answers allow;
 * probes above it are dropped, not queued.
 */
import { createProbePlanner, type AdoptedConfiguration, type ProbePlanner, type TargetSet } from '@wisteriavalve/fleet'
import type { ProbeResult } from '@wisteriavalve/policy'
import type { FleetSettings, Target, TargetNote } from '@wisteriavalve/schema'
import type { DaemonContext } from '../types.js'
import { createProbeRunner } from './probe-runner.js'

export type ProbeDriverOptions = {
  context: DaemonContext
  /** Last answer of a target to a request of this node. */
  lastAnswerMs: (service: string, targetId: string) => number | undefined
  onResult: (service: string, targetId: string, result: ProbeResult) => void
}

export type ProbeDriver = {
  start: () => void
  setConfiguration: (configuration: AdoptedConfiguration) => void
  setTargets: (service: string, targets: TargetSet) => void
  /** Answers that any node saw. */
  noteObservations: (notes: readonly TargetNote[]) => void
  /** Whether an answer at that time was one to a probe of this node. */
  isProbeAnswer: (service: string, targetId: string, atMs: number) => boolean
  wake: (gapMs: number) => void
  counters: () => Record<string, number>
  stop: () => Promise<void>
}

const PLAN_INTERVAL_MS = 200
/** Processor time of one probe, measured by the bench `probes` (connection, request, parsing). */
const PROBE_CPU_MS = 1
/** Results of probes reach policy in the same turn, so its notes carry the same time up to rounding. */
const SAME_TIME_MS = 100

type Answered = { requestMs?: number, probeMs?: number }
type Entry = { service: string, target: Target, healthPath: string }

const keyOf = (service: string, targetId: string): string => `${service}/${targetId}`

export const createProbeDriver = (options: ProbeDriverOptions): ProbeDriver => {
  const { context } = options
  const { clock, random } = context
  const runner = createProbeRunner(clock.nowMs)
  const answered = new Map<string, Answered>()
  const ownProbes = new Map<string, number>()
  const targets = new Map<string, TargetSet>()
  const counters = { probes_sent: 0, probes_failed: 0, probes_over_cpu_share: 0 }
  let configuration: AdoptedConfiguration | undefined
  let planner: ProbePlanner | undefined
  let entries = new Map<string, Entry>()
  let cpuTokens = 0
  let cancel = (): void => {}
  let isStopped = false

  const rebuild = (): void => {
    entries = new Map()
    for (const [service, { healthPath }] of configuration?.services ?? []) {
      const { targets: all = [], leavingIds = [] } = targets.get(service) ?? {}
      for (const target of all) {
        if (!leavingIds.includes(target.id)) entries.set(keyOf(service, target.id), { service, target, healthPath })
      }
    }
    for (const map of [answered, ownProbes]) for (const key of map.keys()) if (!entries.has(key)) map.delete(key)
  }

  const noteAnswered = (key: string, field: keyof Answered, atMs: number): void => {
    const known = answered.get(key) ?? {}
    known[field] = Math.max(known[field] ?? -Infinity, atMs)
    answered.set(key, known)
  }

  const run = async ({ service, target, healthPath }: Entry): Promise<void> => {
    counters.probes_sent++
    const result = await runner.probe(target, healthPath)
    if (isStopped) return
    if (result.ok) {
      noteAnswered(keyOf(service, target.id), 'probeMs', clock.nowMs())
      ownProbes.set(keyOf(service, target.id), clock.nowMs())
    } else counters.probes_failed++
    options.onResult(service, target.id, result)
  }

  const refillCpu = ({ probeCpuPercent }: FleetSettings): void => {
    const perS = probeCpuPercent / 100 * 1000 / PROBE_CPU_MS
    cpuTokens = Math.min(Math.max(1, perS), cpuTokens + perS * PLAN_INTERVAL_MS / 1000)
  }

  const plan = (): void => {
    cancel = clock.after(PLAN_INTERVAL_MS, plan)
    if (!planner || !configuration) return
    refillCpu(configuration.settings)
    const candidates = [...entries].map(([targetId, { service, target }]) => {
      const known = answered.get(targetId)
      const ownMs = options.lastAnswerMs(service, target.id)
      const isOwnProbe = ownMs !== undefined && isProbeAnswer(service, target.id, ownMs)
      const requestMs = Math.max(known?.requestMs ?? -Infinity, isOwnProbe ? -Infinity : ownMs ?? -Infinity)
      return { targetId, lastAnswerMs: requestMs, lastProbeAnswerMs: known?.probeMs }
    })
    for (const key of planner.next(candidates, clock.nowMs())) {
      const entry = entries.get(key)
      if (cpuTokens < 1) counters.probes_over_cpu_share++
      else if (entry) {
        cpuTokens--
        run(entry).catch(() => {})
      }
    }
  }

  const isProbeAnswer = (service: string, targetId: string, atMs: number): boolean =>
    Math.abs((ownProbes.get(keyOf(service, targetId)) ?? -Infinity) - atMs) <= SAME_TIME_MS

  const setConfiguration = (next: AdoptedConfiguration): void => {
    configuration = next
    if (planner) planner.reconfigure(next.settings)
    else planner = createProbePlanner({ ...next.settings, random })
    rebuild()
  }

  const noteObservations = (notes: readonly TargetNote[]): void => {
    for (const { service, targetId, observation, ageMs, byProbe } of notes) {
      if (observation !== 'answering' || !entries.has(keyOf(service, targetId))) continue
      noteAnswered(keyOf(service, targetId), byProbe ? 'probeMs' : 'requestMs', clock.nowMs() - ageMs)
    }
  }

  return {
    start: plan,
    setConfiguration,
    setTargets: (service, set) => {
      targets.set(service, set)
      rebuild()
    },
    noteObservations,
    isProbeAnswer,
    wake: gapMs => planner?.wake(gapMs, clock.nowMs()),
    counters: () => ({ ...counters }),
    stop: async () => {
      isStopped = true
      cancel()
      await runner.close()
    }
  }
}
