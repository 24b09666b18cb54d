/**
 * Guards against policy changes that increase tail latency, or repeat or lose
 * requests. Seeds are fixed and time is virtual, so results are reproducible.
 */
import test from 'ava'
import { neighbourPresets, simulate, type SimulationOptions, type SimulationResult } from '../src/experiments/policy-simulation.js'

const run = (options: Partial<SimulationOptions>): SimulationResult => simulate({
  deployment: 'okonkwo',
  scenario: 'noisy',
  policy: 'adaptive',
  isHedgingEnabled: true,
  loadShare: 0.7,
  neighbours: neighbourPresets.long,
  seed: 1,
  durationMs: 6000,
  exactReports: false,
  ...options
})
const SEEDS = [1, 2, 3]
const DURATION_MS = 8000

type Deployment = SimulationOptions['deployment']

/** Latency over all seeds. The baseline, two random choices, runs without hedging. */
const latencyOf = (deployment: Deployment, policy: 'adaptive' | 'two-choices'): SimulationResult['latencyUs'] => {
  const [first, ...others] = SEEDS.map(seed =>
    run({ deployment, policy, isHedgingEnabled: policy === 'adaptive', seed, durationMs: DURATION_MS }).latencyUs) as [SimulationResult['latencyUs'], ...SimulationResult['latencyUs'][]]
  for (const other of others) first.add(other)
  return first
}

const ratioAt = (deployment: Deployment, percentile: number): number =>
  latencyOf(deployment, 'adaptive').getValueAtPercentile(percentile) / latencyOf(deployment, 'two-choices').getValueAtPercentile(percentile)

const inTimeShare = (result: SimulationResult, kind: string): number => {
  const counts = result.kinds.get(kind)
  return counts ? counts.inTime / counts.requests : 0
}

for (const deployment of ['okonkwo', 'authority'] as const) {
  test(`p99 with noisy neighbours is at most 0.6 of that of two random choices (${deployment})`, t => {
    const ratio = ratioAt(deployment, 99)
    t.true(ratio <= 0.6, `ratio ${ratio}`)
  })

  test(`p99.9 with noisy neighbours is at most 0.5 of that of two random choices (${deployment})`, t => {
    const ratio = ratioAt(deployment, 99.9)
    t.true(ratio <= 0.5, `ratio ${ratio}`)
  })
}

test('with a straggler in each service at least 99.9% of idempotent requests are in time', t => {
  const result = run({ scenario: 'straggler' })
  const counts = ['page', 'check'].map(kind => result.kinds.get(kind))
  const [inTime, requests] = [counts.reduce((sum, kind) => sum + (kind?.inTime ?? 0), 0), counts.reduce((sum, kind) => sum + (kind?.requests ?? 0), 0)]
  t.true(inTime / requests >= 0.999, `${inTime} of ${requests}`)
})

test('with one target killed, one draining and one failing fast no request is repeated or lost', t => {
  const result = run({ scenario: 'faults', loadShare: 0.6 })
  t.is(result.repeated, 0)
  t.is(result.wronglyNotRun, 0)
  t.is(inTimeShare(result, 'page'), 1)
  t.is(inTimeShare(result, 'check'), 1)
})

test('at 150% load the kind with the highest weight stays in time, and refusals are sent within 10 ms', t => {
  const result = run({ scenario: 'overload', loadShare: 1.5 })
  t.true(inTimeShare(result, 'pay') > 0.995)
  t.true(inTimeShare(result, 'page') < inTimeShare(result, 'check') && inTimeShare(result, 'check') < inTimeShare(result, 'order'))
  t.true(result.refusalUs.getValueAtPercentile(99) < 10_000)
  const peak = Math.max(...[0.95, 1, 1.5].map(loadShare => run({ scenario: 'overload', loadShare }).ok))
  t.true(result.ok >= 0.95 * peak, `${result.ok} of ${peak}`)
})
