/**
 * Bench of failures at 60% load: three backend servers of the largest service
 * fail at the same time. One is killed, one starts to drain and one fails fast.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { checkRun } from '../checker.js'
import { summarize } from '../load/latency.js'
import type { CallOutcome } from '../load/types.js'
import { startScaledDeployment, type ScaledDeployment } from './scaled-deployment.js'
import type { BenchOptions } from './types.js'

export const description = 'one backend server killed, one draining and one failing fast at 60% load'

const LOAD_SHARE = 0.6
const SERVICE_TIME_MS = 60
const FAULT_AT_MS = 6000
const BASELINE_FROM_MS = 2000
const DURATION_MS = 16_000
const DRAIN_GRACE_MS = 8000
const WINDOW_MS = 1000
const STEP_MS = 100
/** Factor on the highest p99 before the fault up to which a window counts as recovered. The p99 of a window of some hundred requests varies. */
const RECOVERY_TOLERANCE = 1.1
const WINDOWS_IN_A_ROW = 5

type Window = { startMs: number, p99Ms: number }

/** p99 of sliding windows by intended start. Times are relative to the start of the load. */
const computeWindows = (outcomes: readonly CallOutcome[], startMs: number): Window[] => {
  const timedOutcomes = outcomes.map(outcome => ({ outcome, atMs: outcome.endedMs - outcome.latencyMs - startMs }))
  return Array.from({ length: (DURATION_MS - WINDOW_MS) / STEP_MS + 1 }, (_, index) => {
    const fromMs = index * STEP_MS
    const inside = timedOutcomes.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
    return { startMs: fromMs, p99Ms: summarize(inside.map(({ outcome }) => outcome)).p99Ms }
  })
}

/** Time from the fault to the first of enough consecutive windows at the previous level; undefined when there are none. */
const findRecoveryMs = (windows: readonly Window[]): { levelMs: number, recoveryMs?: number } => {
  const before = windows.filter(({ startMs }) => startMs >= BASELINE_FROM_MS && startMs + WINDOW_MS <= FAULT_AT_MS)
  const after = windows.filter(({ startMs }) => startMs >= FAULT_AT_MS)
  const levelMs = RECOVERY_TOLERANCE * Math.max(...before.map(({ p99Ms }) => p99Ms))
  const first = after.findIndex((_, index) =>
    after.length - index >= WINDOWS_IN_A_ROW && after.slice(index, index + WINDOWS_IN_A_ROW).every(({ p99Ms }) => p99Ms <= levelMs))
  return { levelMs, recoveryMs: first < 0 ? undefined : (after[first]?.startMs ?? 0) - FAULT_AT_MS }
}

const injectFaults = async (deployment: ScaledDeployment): Promise<void> => {
  await sleep(FAULT_AT_MS)
  const service = deployment.serviceNames.map(name => ({ name, count: deployment.backends().filter(({ vm }) => vm.service === name).length }))
    .sort((a, b) => b.count - a.count)[0]?.name
  deployment.backend(`${service}-3`).setBehaviour({ failFast: true })
  await Promise.all([deployment.backend(`${service}-1`).kill(), deployment.backend(`${service}-2`).stop(DRAIN_GRACE_MS)])
}

const runOnce = async (seed: number, options: BenchOptions): Promise<void> => {
  const deployment = await startScaledDeployment({ name: options.deployment, seed, serviceTimeMs: SERVICE_TIME_MS })
  try {
    const startMs = performance.timeOrigin + performance.now()
    const load = deployment.load({ loadShare: LOAD_SHARE, durationMs: DURATION_MS, seed })
    const [outcomes] = await Promise.all([load.done, injectFaults(deployment)])
    const verdict = checkRun(outcomes, deployment.record)
    const { levelMs, recoveryMs } = findRecoveryMs(computeWindows(outcomes, startMs))
    options.report({
      seed,
      requests: verdict.requests,
      in_time: verdict.inTime,
      not_run: verdict.notRun,
      outcome_unknown: verdict.outcomeUnknown,
      backend_errors: outcomes.filter(outcome => outcome.result === 'backend-error').length,
      repeated: verdict.repeated,
      wrongly_not_run: verdict.wronglyNotRun,
      lost_idempotent: verdict.lostIdempotent,
      late_after_drain: verdict.lateAfterDrain,
      p99_level_ms: levelMs,
      p99_back_after_ms: recoveryMs ?? 'never'
    })
  } finally {
    await deployment.close()
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) await runOnce(seed, options)
}
