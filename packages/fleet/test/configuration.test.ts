/**
 * Guards the adoption of configurations against replacing a newer configuration
 * by an older one, adopting a head with missing, altered or invalid values, a head
 * that cannot be completed and blocks others, and alternating between heads when
 * the configuration service returns different bytes for one revision.
 */
import test from 'ava'
import fc from 'fast-check'
import { hash32, sha256Hex, shardIdOf } from '@wisteriavalve/common'
import {
  compareOrder, createConfigurationState, planConfigurationReads,
  type ConfigurationState, type ConfigurationStep, type HeadCandidate
} from '../src/index.js'
import { sampleConfiguration, type Sample, type SampleOptions } from './sample-configuration.js'

const SEED = 20_250

const newState = (services: string[] = []): ConfigurationState => createConfigurationState({ fleet: 'okonkwo', services })

const candidate = (sample: Sample, revision: number, restoreCount = 0, source: HeadCandidate['source'] = 'service'): HeadCandidate =>
  ({ restoreCount, revision, bytes: sample.head, source })

const complete = (state: ConfigurationState, ...samples: Sample[]): ConfigurationStep | undefined => {
  let last: ConfigurationStep | undefined
  for (let round = 0; round < 5; round++) {
    for (const hash of state.pendingHashes()) {
      const bytes = samples.map(({ values }) => values.get(hash)).find(value => value)
      if (bytes) last = state.provideValue(hash, bytes)
    }
  }
  return last
}

const rate = (value: number, more: SampleOptions = {}): Sample => sampleConfiguration({ probesPerTargetPerS: value, ...more })

const encode = (value: unknown): Uint8Array => new TextEncoder().encode(JSON.stringify(value))

test('a head is adopted only with all its values, which are fetched in two rounds', t => {
  const state = newState()
  const sample = rate(1)
  const first = state.offerHead(candidate(sample, 5))
  t.is(first.step, 'fetch')
  t.is(state.adopted(), undefined)
  t.is(complete(state, sample)?.step, 'adopted')
  t.is(state.adopted()?.order.revision, 5)
  t.deepEqual([...state.adopted()?.services.keys() ?? []], ['stockview'])
})

test('altered bytes are rejected and the correct ones still complete the head', t => {
  const state = newState()
  const sample = rate(1)
  state.offerHead(candidate(sample, 5))
  const hash = state.pendingHashes()[0] as string
  const step = state.provideValue(hash, new Uint8Array([1, 2, 3]))
  t.like(step, { step: 'rejected', fault: { code: 'value-hash-mismatch' } })
  t.is(complete(state, sample)?.step, 'adopted')
})

test('a value that fails validation is rejected with its fault code and the adopted configuration stays', t => {
  const state = newState()
  const good = rate(1)
  state.offerHead(candidate(good, 5))
  complete(state, good)
  const faults: Array<[Sample, string]> = [
    [sampleConfiguration({ services: [{ name: 'stockview', slotsPerTarget: 0 }] }), 'value-invalid'],
    [sampleConfiguration({ services: [{ name: 'a', pathPrefix: '/x' }, { name: 'b', pathPrefix: '/x' }] }), 'value-invalid'],
    [sampleConfiguration({ services: [{ targets: [1, 2].map(port => ({ id: 't', host: '10.0.0.1', port, zone: 'z' })) }] }), 'value-invalid'],
    [sampleConfiguration({ fleet: 'authority' }), 'fleet-mismatch'],
    [{ ...good, head: encode({ format: 2 }) }, 'value-invalid'],
    [{ ...good, head: new Uint8Array([0xff, 0xfe]) }, 'value-invalid']
  ]
  faults.forEach(([sample, code], index) => {
    const offered = state.offerHead(candidate(sample, 10 + index))
    const step = offered.step === 'rejected' ? offered : complete(state, sample)
    t.like(step, { step: 'rejected', fault: { code } })
    t.like(state.offerHead(candidate(sample, 10 + index)), { step: 'rejected', fault: { code } })
    t.is(state.adopted()?.order.revision, 5)
  })
  t.deepEqual(state.pendingHashes(), [])
})

test('a service in the wrong shard is rejected', t => {
  const sample = rate(1)
  const head = JSON.parse(new TextDecoder().decode(sample.head)) as { shards: Record<string, string> }
  const [[id, hash]] = Object.entries(head.shards) as [[string, string]]
  const other = id === '00' ? '01' : '00'
  const state = newState()
  const moved = { head: encode({ ...head, shards: { [other]: hash } }), values: sample.values }
  state.offerHead(candidate(moved, 5))
  t.like(complete(state, moved), { step: 'rejected', fault: { code: 'value-invalid' } })
  t.is(shardIdOf('stockview'), String(hash32('stockview') % 64).padStart(2, '0'))
})

test('a head that cannot be completed blocks neither newer nor older ones', t => {
  const state = newState()
  const [older, incompletable, newer] = [rate(1), rate(2), rate(3)] as [Sample, Sample, Sample]
  state.offerHead(candidate(incompletable, 20))
  state.offerHead(candidate(older, 10))
  complete(state, older)
  t.is(state.adopted()?.order.revision, 10)
  state.offerHead(candidate(newer, 30))
  complete(state, newer)
  t.is(state.adopted()?.order.revision, 30)
  t.deepEqual(state.pendingOrders(), [])
})

test('a node that serves only some services fetches only their values', t => {
  const sample = sampleConfiguration({ services: [{ name: 'stockview' }, { name: 'orderdesk' }, { name: 'mediahall' }] })
  const state = newState(['orderdesk'])
  state.offerHead(candidate(sample, 1))
  let fetched = 0
  for (let hashes = state.pendingHashes(); hashes.length > 0; hashes = state.pendingHashes()) {
    fetched += hashes.length
    for (const hash of hashes) state.provideValue(hash, sample.values.get(hash) as Uint8Array)
  }
  t.is(fetched, 3)
  t.deepEqual([...state.adopted()?.services.keys() ?? []], ['orderdesk'])
})

test('one revision with different bytes ends in the same bytes on every node and does not alternate', t => {
  const [a, b] = [rate(1), rate(2)] as [Sample, Sample]
  const heads = [[a, b, a, b], [b, a, b, a]].map(order => {
    const state = newState()
    const adopted: string[] = []
    for (const sample of order) {
      state.offerHead(candidate(sample, 7))
      complete(state, a, b)
      const hash = state.adopted()?.order.headHash as string
      if (adopted.at(-1) !== hash) adopted.push(hash)
    }
    t.true(adopted.length <= 2)
    return adopted.at(-1)
  })
  t.is(heads[0], heads[1])
})

test('the order never goes back and the newest complete head wins, on any interleaving of sources', t => {
  const samples = Array.from({ length: 6 }, (_, index) => rate(index + 1, { restoreCount: index > 3 ? 1 : 0 }))
  const head = fc.record({
    sample: fc.nat(5), revision: fc.integer({ min: 1, max: 8 }), source: fc.constantFrom<'service' | 'peer'>('service', 'peer'), provide: fc.boolean(), forge: fc.boolean()
  })
  t.log(`fast_check_seed=${SEED}`)
  fc.assert(fc.property(fc.array(head, { maxLength: 40 }), steps => {
    const state = newState()
    let before = state.adopted()?.order
    let best = before
    for (const { sample: index, revision, source, provide, forge } of steps) {
      const sample = samples[index] as Sample
      const restoreCount = index > 3 ? 1 : 0
      state.offerHead(candidate(sample, revision, forge ? 9 : restoreCount, source))
      if (provide) complete(state, sample)
      const order = { restoreCount, revision, headHash: sha256Hex(sample.head) }
      if (provide && !forge && (!best || compareOrder(order, best) > 0)) best = order
      const after = state.adopted()?.order
      if (before && (!after || compareOrder(after, before) < 0)) return false
      before = after
    }
    complete(state, ...samples)
    const final = state.adopted()?.order
    return best === undefined || (final !== undefined && compareOrder(final, best) >= 0)
  }), { seed: SEED, numRuns: 300 })
  t.pass()
})

test('each zone has two watchers on every connected side, and peers of the same zone are first', t => {
  const members = Array.from({ length: 20 }, (_, index) => ({
    nodeId: `entry-${index}`, incarnation: 1, state: 'alive' as const, zone: `z${index % 3}`, host: '10.0.0.1', callerPort: 1, gossipPort: 2, peerPort: 3
  }))
  for (const view of [members, members.filter((_, index) => index % 2 === 0), members.slice(0, 1)]) {
    for (const zone of new Set(view.map(member => member.zone))) {
      const inZone = view.filter(member => member.zone === zone)
      const watchers = inZone.filter(({ nodeId }) => planConfigurationReads({ selfId: nodeId, zone, members: view }).isWatcher)
      t.is(watchers.length, Math.min(2, inZone.length))
    }
  }
  const { pullFrom } = planConfigurationReads({ selfId: 'entry-0', zone: 'z0', members })
  t.true(pullFrom.slice(0, 6).every(({ zone }) => zone === 'z0'))
  const suspected = members.map(member => ({ ...member, state: 'suspect' as const }))
  t.true(planConfigurationReads({ selfId: 'entry-0', zone: 'z0', members: suspected }).isWatcher)
})

test('a value awaited by two heads advances the older one when the newer one is rejected', t => {
  const state = newState()
  const older = rate(1)
  const newer = sampleConfiguration({ fleet: 'okonkwo', probesPerTargetPerS: -1 })
  state.offerHead(candidate(older, 5))
  state.offerHead(candidate(newer, 6))
  const shared = state.pendingHashes().filter(hash => older.values.has(hash) && newer.values.has(hash))
  const others = state.pendingHashes().filter(hash => !shared.includes(hash))
  t.is(shared.length, 1)
  for (const hash of [...others, ...shared]) state.provideValue(hash, (older.values.get(hash) ?? newer.values.get(hash)) as Uint8Array)
  complete(state, older)
  t.is(state.adopted()?.order.revision, 5)
})
