/**
 * Guards entry answers against an uneven spread of callers and callers left
 * without a live address when nodes die, probes against exceeding the limit of a
 * target, and target sets against VM lists that are short, stale or empty.
 */
import test from 'ava'
import fc from 'fast-check'
import { createRandom } from '@wisteriavalve/common'
import type { MemberUpdate, VmEntry } from '@wisteriavalve/schema'
import { buildEntryAnswer, createProbePlanner, entryCandidates, createReplayGuard, createTargetUnion } from '../src/index.js'
import { sampleService } from './sample-configuration.js'

const ZONES = ['lagos-a', 'lagos-b', 'ibadan-c']
const SETTINGS = { entryAddressCount: 4, entryLifetimeMs: 10_000 }

const member = (index: number, change: Partial<MemberUpdate> = {}): MemberUpdate => ({
  nodeId: `entry-${index}`, incarnation: 1, state: 'alive', zone: ZONES[index % 3] as string, host: `10.0.0.${index}`, callerPort: 8080, gossipPort: 1, peerPort: 2, ...change
})

const fleet = (count: number, change: (index: number) => Partial<MemberUpdate> = () => ({})): MemberUpdate[] =>
  Array.from({ length: count }, (_, index) => member(index, change(index)))

test('a node without other members also answers with the entry VMs of the VM list', t => {
  const vm = (vmId: string, change: Partial<VmEntry> = {}): VmEntry =>
    ({ vmId, role: 'entry', zone: 'lagos-b', host: `10.0.1.${vmId.length}`, port: 8080, state: 'live', ...change })
  const vms = [vm('entry-0'), vm('entry-10'), vm('entry-left', { state: 'leaving' }), vm('stock-1', { role: 'backend' })]
  t.deepEqual(entryCandidates(fleet(1), vms).map(({ nodeId }) => nodeId), ['entry-0', 'entry-10'])
  t.deepEqual(entryCandidates(fleet(2), vms).map(({ nodeId }) => nodeId), ['entry-0', 'entry-1'])
})

test('the first two addresses are in the caller’s zone and the others in other zones', t => {
  const random = createRandom(1)
  for (let run = 0; run < 200; run++) {
    const zones = buildEntryAnswer({ members: fleet(20), settings: SETTINGS }, { zone: 'lagos-b' }, random).addresses.map(({ zone }) => zone)
    t.deepEqual(zones.slice(0, 2), ['lagos-b', 'lagos-b'])
    t.deepEqual([...zones.slice(2)].sort(), ['ibadan-c', 'lagos-a'])
  }
  const { addresses, lifetimeMs } = buildEntryAnswer({ members: fleet(20), settings: SETTINGS }, { zone: 'unknown' }, random)
  t.is(new Set(addresses.map(({ zone }) => zone)).size, 3)
  t.true(lifetimeMs >= 8000 && lifetimeMs <= 12_000)
})

test('leaving, suspected and overloaded nodes are excluded unless fewer than two nodes remain', t => {
  const random = createRandom(2)
  const states = ['alive', 'leaving', 'suspect', 'alive'] as const
  const members = fleet(12, index => ({ state: states[index % 4], loadPercent: index % 4 === 3 ? 120 : 10 }))
  const hosts = new Set<string>()
  for (let run = 0; run < 200; run++) for (const { host } of buildEntryAnswer({ members, settings: SETTINGS }, {}, random).addresses) hosts.add(host)
  t.deepEqual([...hosts].sort(), ['10.0.0.0', '10.0.0.4', '10.0.0.8'])
  const few = [member(0, { state: 'suspect' }), member(1, { state: 'leaving' }), member(2, { loadPercent: 150 })]
  t.deepEqual(buildEntryAnswer({ members: few, settings: SETTINGS }, {}, random).addresses.map(({ host }) => host).sort(), ['10.0.0.1', '10.0.0.2'])
})

test('callers that keep their answers are spread evenly, and few lose all addresses when half of the nodes die', t => {
  const random = createRandom(3)
  const first = new Map<string, number>()
  let strandedCallers = 0
  const callers = 6000
  for (let caller = 0; caller < callers; caller++) {
    const { addresses } = buildEntryAnswer({ members: fleet(20), settings: SETTINGS }, { zone: ZONES[caller % 3] }, random)
    const host = addresses[0]?.host as string
    first.set(host, (first.get(host) ?? 0) + 1)
    const dead = new Set(fleet(20).map(({ host }) => host).sort(() => random.next() - 0.5).slice(0, 10))
    if (addresses.every(address => dead.has(address.host))) strandedCallers++
  }
  const counts = [...first.values()]
  const ratio = Math.max(...counts) / (callers / 20)
  t.log(`seed=3 busiest_over_mean=${ratio.toFixed(2)} stuck_share=${(strandedCallers / callers).toFixed(4)}`)
  t.is(counts.length, 20)
  t.true(ratio < 1.4)
  // Four independent addresses would all be dead for 10/20 × 9/19 × 8/18 × 7/17 = 4.3% of the callers.
  t.true(strandedCallers / callers < 0.06)
})

type Event = { node: number, kind: 'pause' | 'restart' | 'none', lengthMs: number }

test('probes of a target stay within the bound in a 20-way partition with pauses and restarts', t => {
  const events = fc.array(fc.record({ node: fc.nat(19), kind: fc.constantFrom<Event['kind']>('pause', 'restart', 'none'), lengthMs: fc.integer({ min: 100, max: 30_000 }) }), { maxLength: 40 })
  const seed = 77
  t.log(`fast_check_seed=${seed}`)
  fc.assert(fc.property(events, fc.constantFrom(0.5, 2, 8), fc.nat(1000), (faults, limitPerS, randomSeed) => {
    const random = createRandom(randomSeed)
    const options = { probesPerTargetPerS: limitPerS, entryVmCountMax: 24, random }
    const planners = Array.from({ length: 20 }, () => createProbePlanner(options))
    const pausedUntil = new Array<number>(20).fill(0)
    const sent: number[] = []
    const durationMs = 240_000
    for (let nowMs = 0; nowMs < durationMs; nowMs += 200) {
      const fault = nowMs % 5000 === 0 ? faults[nowMs / 5000] : undefined
      if (fault?.kind === 'pause') pausedUntil[fault.node] = nowMs + fault.lengthMs
      if (fault?.kind === 'restart') planners[fault.node] = createProbePlanner(options)
      planners.forEach((planner, node) => {
        if (nowMs >= (pausedUntil[node] ?? 0)) for (const target of planner.next([{ targetId: 'a' }], nowMs)) if (target === 'a') sent.push(nowMs)
      })
    }
    // A node sends at most one probe in 24 / limit seconds, so the limit of the fleet holds for windows of that length.
    return [1, 2, 5].every(cycles => {
      const windowMs = cycles * 24_000 / limitPerS
      let start = 0
      return sent.every((atMs, end) => {
        while ((sent[start] ?? 0) <= atMs - windowMs) start++
        return end - start + 1 <= windowMs / 1000 * limitPerS
      })
    })
  }), { seed, numRuns: 40 })
  t.pass()
})

test('a pause, announced or not, gives no probe that was not due before it', t => {
  const firstProbeMs = (pauseMs: number, isAnnounced: boolean): number => {
    const planner = createProbePlanner({ probesPerTargetPerS: 2, entryVmCountMax: 24, random: createRandom(12) })
    let nowMs = 0
    for (; nowMs < 4000; nowMs += 200) planner.next([{ targetId: 'a' }], nowMs)
    nowMs += pauseMs
    if (isAnnounced) planner.resumeAfterPause(pauseMs, nowMs)
    while (planner.next([{ targetId: 'a' }], nowMs).length === 0) nowMs += 200
    return nowMs - pauseMs
  }
  const withoutMs = firstProbeMs(0, false)
  t.true(withoutMs >= 12_000)
  t.true(firstProbeMs(60_000, false) >= withoutMs)
  t.true(firstProbeMs(60_000, true) >= withoutMs)
})

test('a target that answers any node is not probed, and its end of traffic causes no burst of probes', t => {
  const random = createRandom(9)
  const planners = Array.from({ length: 20 }, () => createProbePlanner({ probesPerTargetPerS: 2, entryVmCountMax: 24, random }))
  const probesIn = (fromMs: number, toMs: number, lastResponseMs: (nowMs: number) => number): number[] => {
    const sent: number[] = []
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 200) {
      for (const planner of planners) sent.push(...planner.next([{ targetId: 'a', lastResponseMs: lastResponseMs(nowMs) }], nowMs).map(() => nowMs))
    }
    return sent
  }
  t.is(probesIn(0, 60_000, nowMs => nowMs - 500).length, 0)
  const after = probesIn(60_000, 100_000, () => 59_500)
  t.true(after.length > 40 && after.length <= 31 * 2)
  const busiest = Math.max(...after.map(atMs => after.filter(other => other >= atMs && other < atMs + 1000).length))
  t.log(`seed=9 probes_40s=${after.length} busiest_second=${busiest}`)
  t.true(busiest <= 8)
})

const vm = (index: number, state: VmEntry['state'] = 'live'): VmEntry => ({ vmId: `vm-${index}`, role: 'backend', service: 'stockview', zone: 'z', host: `10.1.0.${index}`, port: 9000, state })

test('a short, stale or empty VM list removes no target; leaving VMs are reported once and stay marked', t => {
  const union = createTargetUnion()
  const fixed = { id: 'fixed', host: '10.1.0.1', port: 9000, zone: 'z' }
  union.setServices(new Map([['stockview', sampleService('stockview', { targets: [fixed, { ...fixed, id: 'other', port: 9001 }] })]]))
  union.setVms([vm(1), vm(2), vm(3)], 0)
  const ids = (nowMs: number): string[] | undefined => union.takeChanges(nowMs).get('stockview')?.targets.map(({ id }) => id)
  t.deepEqual(ids(0), ['vm-1', 'vm-2', 'vm-3', 'other'])
  union.setVms([], 1000)
  t.is(ids(1000), undefined)
  union.setVms([vm(1)], 2000)
  t.is(ids(2000), undefined)
  union.recordObservation({ service: 'stockview', targetId: 'vm-1', observation: 'dead' })
  union.recordObservation({ service: 'stockview', targetId: 'vm-2', observation: 'dead' })
  t.deepEqual(ids(2100), ['vm-1', 'vm-3', 'other'])
  union.recordObservation({ service: 'stockview', targetId: 'vm-1', observation: 'answering' })
  union.setVms([vm(3)], 2200)
  t.is(ids(2200), undefined)
  t.deepEqual(union.setVms([vm(1, 'leaving'), vm(3)], 3000).map(({ vmId }) => vmId), ['vm-1'])
  t.deepEqual(union.takeChanges(3000).get('stockview')?.leavingIds, ['vm-1'])
  t.deepEqual(union.setVms([vm(1), vm(3)], 5000), [])
  t.is(ids(5000), undefined)
  t.deepEqual(union.takeChanges(64_000).get('stockview')?.leavingIds, [])
})

test('replays are dropped, a restart with a lower boot id is accepted, and past processes use bounded memory', t => {
  const guard = createReplayGuard()
  t.is(guard.accept('a', 100, 5), 'unverified')
  guard.verify('a', 100, 5)
  t.deepEqual([5, 4, 7, 6, 7, 6].map(sequence => guard.accept('a', 100, sequence)), ['replayed', 'replayed', 'verified', 'verified', 'replayed', 'replayed'])
  t.is(guard.accept('a', 100, 1000), 'verified')
  t.is(guard.accept('a', 100, 700), 'replayed')
  t.is(guard.accept('a', 50, 0), 'unverified')
  guard.verify('a', 50, 0)
  t.is(guard.accept('a', 50, 1), 'verified')
  t.is(guard.accept('a', 100, 1001), 'unverified')
  for (let boot = 0; boot < 10_000; boot++) guard.accept(`x-${boot}`, boot, 1)
  t.true(guard.size() <= 257)
  t.is(guard.accept('a', 50, 1), 'replayed')
})
