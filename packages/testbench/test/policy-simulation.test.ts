/** Guards against changes of the policy that raise tail latency, repeat requests or lose them. Fixed seed and virtual time, so results are exact. */
import test from 'ava'
import { neighbourPresets, simulate, type SimulationOptions, type SimulationResult } from '../src/experiments/policy-simulation.js'

const run = (options: Partial<SimulationOptions>): SimulationResult => simulate({
  deployment: 'okonkwo',
  scenario: 'noisy',
  policy: 'adaptive',
  hedging: true,
  loadShare: 0.7,
  neighbours: neighbourPresets.long,
  seed: 1,
  durationMs: 6000,
  exactReports: false,
  ...options
})
const p99Ms = ({ latencyUs }: SimulationResult): number => latencyUs.getValueAtPercentile(99) / 1000
const inTimeShare = (result: SimulationResult, kind: string): number => {
  const counts = result.kinds.get(kind)
  return counts ? counts.inTime / counts.requests : 0
}

test('p99 with noisy neighbours stays well below that of two random choices', t => {
  const ratio = p99Ms(run({})) / p99Ms(run({ policy: 'two-choices', hedging: false }))
  t.true(ratio < 0.7, `ratio ${ratio}`)
})

test('with a straggler in each service idempotent requests are in time', t => {
  const result = run({ scenario: 'straggler' })
  const counts = ['page', 'check'].map(kind => result.kinds.get(kind))
  const [inTime, requests] = [counts.reduce((sum, kind) => sum + (kind?.inTime ?? 0), 0), counts.reduce((sum, kind) => sum + (kind?.requests ?? 0), 0)]
  t.true(inTime / requests >= 0.999, `${inTime} of ${requests}`)
})

test('with a target killed, one draining and one failing fast nothing is repeated or lost', t => {
  const result = run({ scenario: 'faults', loadShare: 0.6 })
  t.is(result.repeated, 0)
  t.is(result.wronglyNotRun, 0)
  t.is(inTimeShare(result, 'page'), 1)
  t.is(inTimeShare(result, 'check'), 1)
})

test('at 150% load the heaviest kind keeps its share, and refusals are sent at once', t => {
  const result = run({ scenario: 'overload', loadShare: 1.5 })
  t.true(inTimeShare(result, 'pay') > 0.995)
  t.true(inTimeShare(result, 'page') < inTimeShare(result, 'check') && inTimeShare(result, 'check') < inTimeShare(result, 'order'))
  t.true(result.refusalUs.getValueAtPercentile(99) < 10_000)
  t.true(result.ok / result.requests > 0.57, `${result.ok} of ${result.requests}`)
})
