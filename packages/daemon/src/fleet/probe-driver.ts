/**
 * Runs the planned probes and reports their results. The probe rate is limited
 * by the CPU share for probes in the settings. Probes above the limit are
 * dropped, not queued.
 */
import { createProbePlanner, type AdoptedConfiguration, type ProbePlanner, type TargetSet } from '@wisteriavalve/fleet'
import type { ProbeResult } from '@wisteriavalve/policy'
import type { FleetSettings, Target, TargetNote } from '@wisteriavalve/schema'
import type { DaemonContext } from '../types.js'
import { createProbeRunner } from './probe-runner.js'

export type ProbeDriverOptions = {
  context: DaemonContext
  /** Time of a target's last response to a request of this node. */
  lastResponseMs: (service: string, targetId: string) => number | undefined
  onResult: (service: string, targetId: string, result: ProbeResult) => void
}

export type ProbeDriver = {
  start: () => void
  setConfiguration: (configuration: AdoptedConfiguration) => void
  setTargets: (service: string, targets: TargetSet) => void
  /** Records targets' responses that any node observed; they postpone the next probe. */
  recordObservations: (notes: readonly TargetNote[]) => void
  resumeAfterPause: (gapMs: number) => void
  counters: () => Record<string, number>
  stop: () => Promise<void>
}

const PLAN_INTERVAL_MS = 200
/** Upper estimate of the CPU time of one probe. The bench `probes` shows 2.3 ms on a loaded machine, which includes the CPU time of the stand-in backend server. */
const PROBE_CPU_MS = 2

type LastResponses = { requestMs?: number, probeMs?: number }
type ProbeTarget = { service: string, target: Target, healthPath: string }

const keyOf = (service: string, targetId: string): string => `${service}/${targetId}`

export const createProbeDriver = (options: ProbeDriverOptions): ProbeDriver => {
  const { context } = options
  const { clock, random } = context
  const runner = createProbeRunner(clock.nowMs)
  const lastResponses = new Map<string, LastResponses>()
  const targets = new Map<string, TargetSet>()
  const counters = { probes_sent: 0, probes_failed: 0, probes_over_cpu_share: 0 }
  let configuration: AdoptedConfiguration | undefined
  let planner: ProbePlanner | undefined
  let probeTargets = new Map<string, ProbeTarget>()
  let cpuTokens = 0
  let cancelPlanTimer = (): void => {}
  let isStopped = false

  const rebuildProbeTargets = (): void => {
    probeTargets = new Map()
    for (const [service, { healthPath }] of configuration?.services ?? []) {
      const { targets: all = [], leavingIds = [] } = targets.get(service) ?? {}
      for (const target of all) {
        if (!leavingIds.includes(target.id)) probeTargets.set(keyOf(service, target.id), { service, target, healthPath })
      }
    }
    for (const key of lastResponses.keys()) if (!probeTargets.has(key)) lastResponses.delete(key)
  }

  const recordResponse = (key: string, field: keyof LastResponses, atMs: number): void => {
    const responses = lastResponses.get(key) ?? {}
    responses[field] = Math.max(responses[field] ?? -Infinity, atMs)
    lastResponses.set(key, responses)
  }

  const runProbe = async ({ service, target, healthPath }: ProbeTarget): Promise<void> => {
    counters.probes_sent++
    const result = await runner.probe(target, healthPath)
    if (isStopped) return
    if (result.ok) recordResponse(keyOf(service, target.id), 'probeMs', clock.nowMs())
    else counters.probes_failed++
    options.onResult(service, target.id, result)
  }

  const refillCpuTokens = ({ probeCpuPercent }: FleetSettings): void => {
    const perS = probeCpuPercent / 100 * 1000 / PROBE_CPU_MS
    cpuTokens = Math.min(Math.max(1, perS), cpuTokens + perS * PLAN_INTERVAL_MS / 1000)
  }

  const sendPlannedProbes = (): void => {
    cancelPlanTimer = clock.after(PLAN_INTERVAL_MS, sendPlannedProbes)
    if (!planner || !configuration) return
    refillCpuTokens(configuration.settings)
    const candidates = [...probeTargets].map(([targetId, { service, target }]) => {
      const responses = lastResponses.get(targetId)
      const lastResponseMs = Math.max(responses?.requestMs ?? -Infinity, options.lastResponseMs(service, target.id) ?? -Infinity)
      return { targetId, lastResponseMs, lastProbeResponseMs: responses?.probeMs }
    })
    for (const key of planner.next(candidates, clock.nowMs())) {
      const entry = probeTargets.get(key)
      if (cpuTokens < 1) counters.probes_over_cpu_share++
      else if (entry) {
        cpuTokens--
        runProbe(entry)
      }
    }
  }

  const setConfiguration = (next: AdoptedConfiguration): void => {
    configuration = next
    if (planner) planner.reconfigure(next.settings)
    else planner = createProbePlanner({ ...next.settings, random })
    rebuildProbeTargets()
  }

  const recordObservations = (notes: readonly TargetNote[]): void => {
    for (const { service, targetId, observation, ageMs, byProbe } of notes) {
      if (observation !== 'answering' || !probeTargets.has(keyOf(service, targetId))) continue
      recordResponse(keyOf(service, targetId), byProbe ? 'probeMs' : 'requestMs', clock.nowMs() - ageMs)
    }
  }

  return {
    start: sendPlannedProbes,
    setConfiguration,
    setTargets: (service, set) => {
      targets.set(service, set)
      rebuildProbeTargets()
    },
    recordObservations,
    resumeAfterPause: gapMs => planner?.resumeAfterPause(gapMs, clock.nowMs()),
    counters: () => ({ ...counters }),
    stop: async () => {
      isStopped = true
      cancelPlanTimer()
      await runner.close()
    }
  }
}
