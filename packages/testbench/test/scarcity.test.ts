/**
 * Guards against a service that refuses late, starves a kind, serves less urgent
 * requests before more urgent ones, or serves less in total, while its capacity is
 * too small. The load scenarios are those of docs/design/README.md, part 4.
 */
import test, { type ExecutionContext } from 'ava'
import { simulateScarcity, type ScarceCounts, type ScarceDeployment, type ScarceKind, type ScarcityOptions } from '../src/experiments/scarcity-simulation.js'

const FIRST: ScarceDeployment = { zones: ['a', 'b', 'c', 'd'], nodes: 230, targets: 33, slots: 4, crossZoneOneWayMs: 1.4, whenFull: 'reset', probesPerTargetPerS: 60 }
const SECOND: ScarceDeployment = { zones: ['a', 'b', 'c'], nodes: 119, targets: 45, slots: 2, crossZoneOneWayMs: 3, whenFull: 'refused', probesPerTargetPerS: 42 }

const refund = (loadShare: number, burst: number): ScarceKind =>
  ({ name: 'refund', share: 0, idempotent: false, weight: 100, deadlineMs: 4_400, objectiveMs: 550, serviceMs: 271, loadShare, burst })
const download = (loadShare: number, burst: number): ScarceKind =>
  ({ name: 'download', share: 0, idempotent: true, weight: 98, deadlineMs: 6_300, objectiveMs: 3_141, serviceMs: 271, loadShare, burst })
const lookup = (loadShare: number, burst: number): ScarceKind =>
  ({ name: 'lookup', share: 0, idempotent: true, weight: 99, deadlineMs: 5_300, objectiveMs: 849, serviceMs: 330, loadShare, burst })
const claim = (loadShare: number, burst: number): ScarceKind =>
  ({ name: 'claim', share: 0, idempotent: false, weight: 100, deadlineMs: 4_000, objectiveMs: 540, serviceMs: 181, loadShare, burst })
const status = (loadShare: number, burst: number): ScarceKind =>
  ({ name: 'status', share: 0, idempotent: true, weight: 99, deadlineMs: 4_000, objectiveMs: 433, serviceMs: 139, loadShare, burst })

type Result = Map<string, ScarceCounts>

const sum = (result: Result, read: (counts: ScarceCounts) => number): number => [...result.values()].reduce((total, counts) => total + read(counts), 0)
const served = ({ inTime, late }: ScarceCounts): number => inTime + late
const servedShare = (counts: ScarceCounts): number => served(counts) / counts.requests
const quantile = (values: readonly number[], share: number): number => [...values].sort((a, b) => a - b)[Math.floor(share * values.length)] ?? 0

const describe = (result: Result): string => [...result]
  .map(([name, { requests, inTime, late, refused, failed, refusalMs }]) => `${name} ${requests}: ${inTime} in time, ${late} late, ${refused} refused (p90 ${quantile(refusalMs, 0.9).toFixed(0)} ms), ${failed} failed`).join('; ')

const run = (t: ExecutionContext, options: Omit<ScarcityOptions, 'seed' | 'isEnabled'>): { on: Result, off: Result } => {
  const [on, off] = [true, false].map(isEnabled => simulateScarcity({ ...options, seed: 1, isEnabled })) as [Result, Result]
  t.log(`on: ${describe(on)}`)
  t.log(`off: ${describe(off)}`)
  return { on, off }
}

/** @param names kinds from the most urgent to the least urgent */
const checkCallers = (t: ExecutionContext, { on, off }: { on: Result, off: Result }, names: readonly string[]): void => {
  const shares = names.map(name => servedShare(on.get(name) as ScarceCounts))
  const meanShare = sum(on, served) / sum(on, ({ requests }) => requests)
  shares.forEach((share, index) => {
    t.true(share >= meanShare / 4, `${names[index]} is served ${share}, all ${meanShare}`)
    if (index > 0) t.true(share <= (shares[index - 1] as number), `${names[index]} is served ${share}, a more urgent kind ${shares[index - 1]}`)
  })
  t.is(sum(on, ({ wronglyNotRun }) => wronglyNotRun), 0)
  const refusalMs = [...on.values()].flatMap(counts => counts.refusalMs)
  t.true(quantile(refusalMs, 0.9) <= 50, `p90 of the time to a refusal ${quantile(refusalMs, 0.9)}`)
  const [onCount, offCount] = [on, off].map(result => sum(result, ({ inTime }) => inTime)) as [number, number]
  t.true(onCount >= offCount, `${onCount} in time, ${offCount} without priorities`)
  const retryAfterMs = [...on.values()].flatMap(counts => counts.retryAfterMs)
  t.true(quantile(retryAfterMs, 0.9) - quantile(retryAfterMs, 0.1) >= 300, 'callers come back at the same time')
}

test('(a) a burst of the less urgent kind', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [refund(0.2, 1), download(0.3, 2.3)] }), ['refund', 'download']))

test('(a) a burst of the more urgent kind', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [refund(0.3, 2.3), download(0.2, 1)] }), ['refund', 'download']))

test('(a) a burst of the only kind of a service', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [lookup(0.45, 2.3)] }), ['lookup']))

test('(b) a burst of all kinds, with full targets that reset connections', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [refund(0.25, 2.3), download(0.25, 2.3)] }), ['refund', 'download']))

test('(b) a burst of all kinds, with full targets that refuse', t => checkCallers(t, run(t, { deployment: SECOND, kinds: [claim(0.25, 2.3), status(0.3, 2.3)] }), ['claim', 'status']))

test('(c) callers that repeat at once take nothing from callers that behave', t => {
  const others = (isRepeated: boolean): ScarceKind[] => [refund(0.1, 2.3), download(0.1, 2.3)].map(kind => ({ ...kind, name: `other ${kind.name}`, isRepeated }))
  const kinds = [refund(0.15, 2.3), download(0.15, 2.3)]
  const repeated = simulateScarcity({ deployment: FIRST, kinds: [...kinds, ...others(true)], seed: 1, isEnabled: true })
  const single = simulateScarcity({ deployment: FIRST, kinds: [...kinds, ...others(false)], seed: 1, isEnabled: true })
  t.log(`repeated: ${describe(repeated)}`)
  t.log(`not repeated: ${describe(single)}`)
  const behaved = (result: Result): number => ['refund', 'download'].reduce((total, name) => total + served(result.get(name) as ScarceCounts), 0)
  // 2% is the deviation between two seeds.
  t.true(behaved(repeated) >= 0.98 * behaved(single), `${behaved(repeated)} served, ${behaved(single)} if others do not repeat`)
})

test('(d) half of the targets crash', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [refund(0.3, 1), download(0.3, 1)], crashedShare: 0.5 }), ['refund', 'download']))

test('(d) a fifth of the targets becomes 10 times slower', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [refund(0.3, 1), download(0.3, 1)], slowedShare: 0.2 }), ['refund', 'download']))

test('(e) a service takes over the load of another one', t => checkCallers(t, run(t, { deployment: FIRST, kinds: [refund(0.25, 1), lookup(0.01, 50), download(0.25, 1)] }), ['refund', 'lookup', 'download']))

test('without pressure, no request is refused', t => {
  const result = simulateScarcity({ deployment: FIRST, kinds: [refund(0.2, 1), download(0.2, 1)], seed: 1, isEnabled: true })
  t.is(sum(result, ({ refused }) => refused), 0, describe(result))
})

test('without reports, requests are placed as without priorities', t => {
  const { on, off } = run(t, { deployment: FIRST, kinds: [refund(0.25, 2.3), download(0.25, 2.3)], hasNoReports: true })
  t.true(sum(on, ({ inTime }) => inTime) >= 0.97 * sum(off, ({ inTime }) => inTime))
})
