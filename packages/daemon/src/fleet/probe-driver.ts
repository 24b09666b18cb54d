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
  wake: (gapMs: number) => void
  counters: () => Record<string, number>
  stop: () => Promise<void>
}

const PLAN_INTERVAL_MS = 200
/** Upper estimate of a probe's processor time: the bench `probes` measured 2.3 ms with the stand-in's part on a loaded machine. */
const PROBE_CPU_MS = 2

type Answered = { requestMs?: number, probeMs?: number }
type Entry = { service: string, target: Target, healthPath: string }

const keyOf = (service: string, targetId: string): string => `${service}/${targetId}`

export const createProbeDriver = (options: ProbeDriverOptions): ProbeDriver => {
  const { context } = options
  const { clock, random } = context
  const runner = createProbeRunner(clock.nowMs)
  const answered = new Map<string, Answered>()
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
    for (const key of answered.keys()) if (!entries.has(key)) answered.delete(key)
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
    if (result.ok) noteAnswered(keyOf(service, target.id), 'probeMs', clock.nowMs())
    else counters.probes_failed++
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
      const lastAnswerMs = Math.max(known?.requestMs ?? -Infinity, options.lastAnswerMs(service, target.id) ?? -Infinity)
      return { targetId, lastAnswerMs, lastProbeAnswerMs: known?.probeMs }
    })
    for (const key of planner.next(candidates, clock.nowMs())) {
      const entry = entries.get(key)
      if (cpuTokens < 1) counters.probes_over_cpu_share++
      else if (entry) {
        cpuTokens--
        run(entry)
      }
    }
  }

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
    wake: gapMs => planner?.wake(gapMs, clock.nowMs()),
    counters: () => ({ ...counters }),
    stop: async () => {
      isStopped = true
      cancel()
      await runner.close()
    }
  }
}
