/**
 * Bench of overload: goodput at 150% load compared with the peak at lower loads,
 * share of requests in time by weight, and latency of rejections.
 */
import { summarize, summarizeWeighted } from '../load/latency.js'
import type { CallOutcome } from '../load/types.js'
import { startScaledDeployment } from './scaled-deployment.js'
import type { BenchOptions } from './types.js'

export const description = 'goodput, share of requests in time, and latency of rejections up to 150% load'

const LOAD_SHARES = [0.7, 0.9, 1, 1.2, 1.5]
const SERVICE_TIME_MS = 100
const WARM_UP_MS = 2000
const DURATION_MS = 8000

const goodputPerS = (outcomes: readonly CallOutcome[]): number =>
  outcomes.filter(outcome => outcome.result === 'in-time').length * 1000 / DURATION_MS

const inTimeOf = (outcomes: readonly CallOutcome[], matches: (weight: number) => boolean): number =>
  summarize(outcomes.filter(outcome => matches(outcome.weight))).inTimePercent

const rejectionP99Ms = (outcomes: readonly CallOutcome[]): number | undefined => {
  const rejected = outcomes.filter(outcome => outcome.result === 'not-run' && outcome.status > 0)
  if (rejected.length === 0) return undefined
  return summarize(rejected.map(outcome => ({ ...outcome, latencyMs: outcome.attemptMs }))).p99Ms
}

const measure = async (loadShare: number, seed: number, options: BenchOptions): Promise<CallOutcome[]> => {
  const deployment = await startScaledDeployment({ name: options.deployment, seed, serviceTimeMs: SERVICE_TIME_MS })
  try {
    await deployment.load({ loadShare, durationMs: WARM_UP_MS, seed: seed + 1000 }).done
    return await deployment.load({ loadShare, durationMs: DURATION_MS, seed }).done
  } finally {
    await deployment.close()
  }
}

const runOnce = async (seed: number, options: BenchOptions): Promise<void> => {
  let peakPerS = 0
  for (const loadShare of LOAD_SHARES) {
    const outcomes = await measure(loadShare, seed, options)
    const highestWeight = Math.max(...outcomes.map(outcome => outcome.weight))
    const goodput = goodputPerS(outcomes)
    peakPerS = Math.max(peakPerS, goodput)
    options.report({
      load_percent: Math.round(loadShare * 100),
      seed,
      requests: outcomes.length,
      goodput_per_s: goodput,
      goodput_of_peak_percent: 100 * goodput / peakPerS,
      in_time_percent: summarize(outcomes).inTimePercent,
      weighted_in_time_percent: summarizeWeighted(outcomes).inTimePercent,
      highest_weight_in_time_percent: inTimeOf(outcomes, weight => weight === highestWeight),
      other_in_time_percent: inTimeOf(outcomes, weight => weight !== highestWeight),
      rejection_p99_ms: rejectionP99Ms(outcomes),
      p99_ms: summarize(outcomes).p99Ms
    })
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const seed of options.seeds) await runOnce(seed, options)
}
