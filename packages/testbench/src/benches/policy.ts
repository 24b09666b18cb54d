/**
 * Bench of the routing policies, one after the other in one run: with noisy
 * neighbours at 70% load, and with one straggler in each service at the same load.
 * Ratios compare each policy with two random choices under the same seeds.
 */
import { summarize, summarizeWeighted, type LatencySummary } from '../load/latency.js'
import type { CallOutcome } from '../load/types.js'
import { startScaledDeployment } from './scaled-deployment.js'
import type { BenchOptions } from './types.js'

export const description = 'routing policies compared with two random choices, with noisy neighbours and with stragglers'

const POLICIES = ['two-choices', 'round-robin', 'random', 'least-in-flight', 'prequal', 'adaptive']
const BASELINE = 'two-choices'
const LOAD_SHARE = 0.7
const SERVICE_TIME_MS = 60
const WARM_UP_MS = 3000
const DURATION_MS = 10_000
const NEIGHBOURS = { meanQuietMs: 2000, meanBusyMs: 250, slowdown: 4 }
const STRAGGLER_SLOWDOWN = 10

type Scenario = 'neighbours' | 'straggler'

const measure = async (scenario: Scenario, policy: string, seed: number, options: BenchOptions): Promise<CallOutcome[]> => {
  const deployment = await startScaledDeployment({
    name: options.deployment, seed, policy, serviceTimeMs: SERVICE_TIME_MS, neighbours: scenario === 'neighbours' ? NEIGHBOURS : undefined
  })
  try {
    await deployment.load({ loadShare: LOAD_SHARE, durationMs: WARM_UP_MS, seed: seed + 1000 }).done
    if (scenario === 'straggler') {
      for (const service of deployment.serviceNames) deployment.backend(`${service}-1`).setBehaviour({ slowdown: STRAGGLER_SLOWDOWN })
    }
    return await deployment.load({ loadShare: LOAD_SHARE, durationMs: DURATION_MS, seed }).done
  } finally {
    await deployment.close()
  }
}

const toRow = (scenario: Scenario, policy: string, seed: number | 'all', outcomes: readonly CallOutcome[]) => {
  const all = summarize(outcomes)
  const weighted = summarizeWeighted(outcomes)
  const idempotent = summarize(outcomes.filter(outcome => outcome.idempotent))
  return {
    scenario,
    policy,
    seed,
    requests: all.requests,
    p50_ms: all.p50Ms,
    p99_ms: all.p99Ms,
    p999_ms: all.p999Ms,
    weighted_p99_ms: weighted.p99Ms,
    in_time_percent: all.inTimePercent,
    idempotent_in_time_percent: idempotent.inTimePercent
  }
}

const runScenario = async (scenario: Scenario, options: BenchOptions): Promise<void> => {
  let baseline: LatencySummary | undefined
  for (const policy of POLICIES) {
    const outcomes: CallOutcome[] = []
    for (const seed of options.seeds) {
      const run = await measure(scenario, policy, seed, options)
      options.report(toRow(scenario, policy, seed, run))
      outcomes.push(...run)
    }
    const summary = summarize(outcomes)
    if (policy === BASELINE) baseline = summary
    options.report({
      ...toRow(scenario, policy, 'all', outcomes),
      p99_ratio: baseline && summary.p99Ms / baseline.p99Ms,
      p999_ratio: baseline && summary.p999Ms / baseline.p999Ms
    })
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  await runScenario('neighbours', options)
  await runScenario('straggler', options)
}
