/**
 * Bench of retries: attempts per request that reach backend servers while some of
 * them refuse or fail, to be compared with the limit of the retry budget.
 */
import type { BackendBehaviour, BackendEventWithServer } from '../backend/types.js'
import { checkRun } from '../checker.js'
import { summarize } from '../load/latency.js'
import { startScaledDeployment } from './scaled-deployment.js'
import type { BenchOptions } from './types.js'

export const description = 'attempts per request while backend servers refuse or fail'

const LOAD_SHARE = 0.4
const SERVICE_TIME_MS = 60
const WARM_UP_MS = 3000
const DURATION_MS = 10_000

type Scenario = { name: string, affects: (index: number) => boolean, behaviour: Partial<BackendBehaviour> }

const SCENARIOS: Scenario[] = [
  { name: 'none', affects: () => false, behaviour: {} },
  { name: 'one-fails-fast', affects: index => index === 0, behaviour: { failFast: true } },
  { name: 'half-refuse', affects: index => index % 2 === 0, behaviour: { shed: true } },
  { name: 'all-refuse', affects: () => true, behaviour: { shed: true } },
  { name: 'all-fail-fast', affects: () => true, behaviour: { failFast: true } }
]

const countAttempts = (events: readonly BackendEventWithServer[]): number =>
  events.filter(event => event.type === 'started' || event.type === 'refused').length

const runOnce = async (scenario: Scenario, seed: number, options: BenchOptions): Promise<void> => {
  const deployment = await startScaledDeployment({ name: options.deployment, seed, serviceTimeMs: SERVICE_TIME_MS })
  try {
    await deployment.load({ loadShare: LOAD_SHARE, durationMs: WARM_UP_MS, seed: seed + 1000 }).done
    deployment.backends().filter(({ vm }) => scenario.affects(Number(vm.vmId.split('-').at(-1)) - 1))
      .forEach(backend => backend.setBehaviour(scenario.behaviour))
    const before = deployment.record.events().length
    const outcomes = await deployment.load({ loadShare: LOAD_SHARE, durationMs: DURATION_MS, seed }).done
    const verdict = checkRun(outcomes, deployment.record)
    options.report({
      scenario: scenario.name,
      seed,
      requests: verdict.requests,
      attempts_per_request: countAttempts(deployment.record.events().slice(before)) / Math.max(1, verdict.requests),
      in_time_percent: summarize(outcomes).inTimePercent,
      repeated: verdict.repeated,
      wrongly_not_run: verdict.wronglyNotRun
    })
  } finally {
    await deployment.close()
  }
}

export const run = async (options: BenchOptions): Promise<void> => {
  for (const scenario of SCENARIOS) {
    for (const seed of options.seeds) await runOnce(scenario, seed, options)
  }
}
