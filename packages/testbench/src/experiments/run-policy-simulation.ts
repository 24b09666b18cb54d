/**
 * Runs the policy simulation. Prints one line of key=value pairs per policy and
 * deployment, aggregated over the seeds, with the ratios to two-choices.
 */
import { isPolicyName, type PolicyName } from '@wisteriavalve/policy'
import { Command } from 'commander'
import { deployments } from './deployments.js'
import { neighbourPresets, simulate, type Scenario, type SimulationResult } from './policy-simulation.js'

type RunOptions = { deployment: string, scenario: Scenario, noise: keyof typeof neighbourPresets, policies: string, hedging: boolean, load: string, seeds: string, seconds: string, detail: boolean, exactReports: boolean, nodes?: string }

const percentileMs = (result: SimulationResult, percentile: number): number =>
  result.latencyUs.getValueAtPercentile(percentile) / 1000

const mergeResults = (results: SimulationResult[]): SimulationResult => {
  const [merged, ...rest] = results as [SimulationResult, ...SimulationResult[]]
  for (const result of rest) {
    merged.latencyUs.add(result.latencyUs)
    merged.refusalUs.add(result.refusalUs)
    merged.bySecondUs.forEach((histogram, index) => { const other = result.bySecondUs[index]; if (other) histogram.add(other) })
    for (const field of ['requests', 'ok', 'hedged', 'extraAttempts', 'repeated', 'wronglyNotRun', 'lateAfterDrain'] as const) merged[field] += result[field]
    for (const [name, counts] of result.kinds) {
      const sum = merged.kinds.get(name)
      if (sum) { sum.requests += counts.requests; sum.inTime += counts.inTime; sum.refused += counts.refused; sum.latencyUs.add(counts.latencyUs) }
    }
  }
  return merged
}

const formatResult = (result: SimulationResult, baseline: SimulationResult | undefined): string => {
  const fields: string[] = [50, 99, 99.9].map(percentile => `p${percentile}=${percentileMs(result, percentile).toFixed(1)}`)
  if (baseline) fields.push(...[99, 99.9].map(percentile => `r${percentile}=${(percentileMs(result, percentile) / percentileMs(baseline, percentile)).toFixed(3)}`))
  fields.push(`ok=${(100 * result.ok / result.requests).toFixed(3)}%`, `hedged=${(100 * result.hedged / result.requests).toFixed(2)}%`,
    `extra=${(100 * result.extraAttempts / result.requests).toFixed(2)}%`, `n=${result.requests}`,
    `repeated=${result.repeated}`, `wrongly_not_run=${result.wronglyNotRun}`, `late_after_drain=${result.lateAfterDrain}`)
  for (const [name, { requests, inTime, refused }] of result.kinds) {
    fields.push(`${name}=${(100 * inTime / requests).toFixed(3)}%/${(100 * refused / requests).toFixed(1)}%`)
  }
  fields.push(`refusal_p90=${(result.refusalUs.getValueAtPercentile(90) / 1000).toFixed(1)}`)
  fields.push(`refusal_p99=${(result.refusalUs.getValueAtPercentile(99) / 1000).toFixed(1)}`)
  return fields.join(' ')
}

const runPolicy = (deployment: keyof typeof deployments, policy: PolicyName, options: RunOptions): SimulationResult =>
  mergeResults(options.seeds.split(',').map(seed => simulate({
    deployment,
    scenario: options.scenario,
    policy,
    isHedgingEnabled: options.hedging && policy !== 'two-choices',
    loadShare: Number(options.load),
    neighbours: neighbourPresets[options.noise],
    seed: Number(seed),
    durationMs: Number(options.seconds) * 1000,
    exactReports: options.exactReports,
    ...(options.nodes ? { nodes: Number(options.nodes) } : {})
  })))

const run = (options: RunOptions): void => {
  for (const deployment of Object.keys(deployments) as (keyof typeof deployments)[]) {
    if (options.deployment !== 'all' && options.deployment !== deployment) continue
    let baseline: SimulationResult | undefined
    for (const policy of options.policies.split(',').filter(isPolicyName)) {
      const result = runPolicy(deployment, policy, options)
      if (policy === 'two-choices') baseline = result
      console.log(`${deployment} ${options.scenario} ${options.noise} load=${options.load} ${policy} ${formatResult(result, baseline)}`)
      if (options.detail) {
        for (const [name, { latencyUs }] of result.kinds) {
          console.log(`  ${name}`, [99, 99.9].map(percentile => `p${percentile}=${(latencyUs.getValueAtPercentile(percentile) / 1000).toFixed(1)}`).join(' '))
        }
      }
      if (options.detail) console.log('  p99 by second', result.bySecondUs.map(histogram => (histogram.getValueAtPercentile(99) / 1000).toFixed(0)).join(' '))
    }
  }
}

run(new Command()
  .option('--deployment <name>', 'okonkwo, authority or all', 'all')
  .option('--scenario <name>', 'noisy, straggler, faults or overload', 'noisy')
  .option('--noise <name>', 'noisy neighbours: short, long or strong', 'short')
  .option('--policies <names>', 'comma-separated policies', 'two-choices,adaptive')
  .option('--no-hedging', 'disable hedging for all policies')
  .option('--load <share>', 'load as a share of the mean capacity', '0.7')
  .option('--seeds <list>', 'comma-separated seeds', '1,2,3')
  .option('--seconds <count>', 'duration in virtual time', '8')
  .option('--exact-reports', 'every selection uses the current load of all targets', false)
  .option('--nodes <count>', 'number of nodes (default: that of the deployment)')
  .option('--detail', 'also print percentiles per kind and the p99 per second', false)
  .parse().opts())
