/**
 * Guards against a configuration that comes into force late, or not at all, on
 * nodes that a peer could tell of it: half of the nodes lose the store, among
 * them those that read it for their zones.
 */
import { createRandom, rendezvousOrder } from '@wisteriavalve/common'
import test, { type ExecutionContext } from 'ava'
import { adoptionDelaysMs, createSimulatedStoreFleet, type SimulatedNode, type SimulatedStoreFleet, type SimulatedStoreFleetOptions, type StoreFault } from './simulated-store-fleet.js'

/** Time in which a change must be in force on all nodes. */
const APPLY_MS_MAX = 2_000
const ZONES = ['a', 'b', 'c']
const SETTLE_MS = 8_000
const FAULT_MS = 8_000
/** From an earlier change to the loss of the store. */
const PREVIOUS_CHANGE_MS = 500
/** Nodes that are given to each node at its start. */
const SEED_COUNT = 5

type Scenario = Omit<SimulatedStoreFleetOptions, 'zones' | 'seedCount'> & {
  fault: StoreFault
  /** Nodes of each zone that lose the store, in the order in which they read it for the zone. */
  readersLost: number
  /** Share of the other nodes that lose it. */
  othersLost: number
  /** Share of all nodes whose messages take five times as long. */
  slowShare?: number
  /** From the loss of the store to the change. */
  gapMs: number
}

const readersOf = (nodes: readonly SimulatedNode[], zone: string): SimulatedNode[] => {
  const inZone = nodes.filter(node => node.zone === zone)
  return rendezvousOrder(`watch/${zone}`, inZone.map(({ id }) => id)).flatMap(id => inZone.find(node => node.id === id) ?? [])
}

const loseStore = (fleet: SimulatedStoreFleet, { fault, readersLost, othersLost, slowShare = 0, seed }: Scenario): void => {
  const random = createRandom(seed)
  for (const zone of ZONES) {
    for (const [rank, node] of readersOf(fleet.nodes, zone).entries()) {
      if (rank < readersLost || random.next() < othersLost) node.storeFault = fault
      if (random.next() < slowShare) node.slowdown = 5
    }
  }
}

/** Plays a change of the configuration, or the evacuation of a zone. */
const play = async (t: ExecutionContext, scenario: Scenario, isEvacuation: boolean): Promise<void> => {
  const fleet = await createSimulatedStoreFleet({ ...scenario, zones: ZONES, seedCount: SEED_COUNT })
  t.teardown(fleet.stop)
  await fleet.run(SETTLE_MS)
  // All readers start their next watch after this change, shortly before they lose the store.
  fleet.publish()
  await fleet.run(PREVIOUS_CHANGE_MS)
  loseStore(fleet, scenario)
  await fleet.run(scenario.gapMs)
  const publishedMs = fleet.clock.nowMs()
  const version = isEvacuation ? 0 : fleet.publish()
  if (isEvacuation) fleet.evacuate('a')
  await fleet.run(FAULT_MS)
  const delaysMs = isEvacuation
    ? fleet.nodes.map(({ evacuatedMs }) => (evacuatedMs.get('a') ?? Infinity) - publishedMs)
    : adoptionDelaysMs(fleet.nodes, version, publishedMs)
  delaysMs.sort((a, b) => a - b)
  const lateCount = delaysMs.filter(delayMs => delayMs > APPLY_MS_MAX).length
  t.log(`in force after ${delaysMs[delaysMs.length >> 1]} ms at half of ${delaysMs.length} nodes, after ${delaysMs.at(-1)} ms at the last one`)
  t.is(lateCount, 0, `${lateCount} of ${delaysMs.length} nodes had the change later than ${APPLY_MS_MAX} ms, the last one after ${delaysMs.at(-1)} ms`)
}

const playChange = (t: ExecutionContext, scenario: Scenario): Promise<void> => play(t, scenario, false)

const playEvacuation = (t: ExecutionContext, scenario: Scenario): Promise<void> => play(t, scenario, true)

for (const nodeCount of [24, 163]) {
  test(`a change is in force in 2 s on all of ${nodeCount} nodes although the store is silent for the reader of each zone and half of the others`, playChange,
    { nodeCount, seed: 1, fault: 'silent', readersLost: 1, othersLost: 0.5, slowShare: 0.2, gapMs: 50 })
}

test('a change is in force in 2 s on all nodes although the store is silent for the first three readers of each zone', playChange,
  { nodeCount: 60, seed: 2, fault: 'silent', readersLost: 3, othersLost: 0.3, gapMs: 50 })

test('a change is in force in 2 s on all nodes although the store refuses the first three readers of each zone', playChange,
  { nodeCount: 60, seed: 3, fault: 'busy', readersLost: 3, othersLost: 0.3, gapMs: 400 })

test('a change is in force in 2 s on all nodes although three in ten datagrams are lost as well', playChange,
  { nodeCount: 60, seed: 4, fault: 'silent', readersLost: 1, othersLost: 0.5, gapMs: 50, datagramLoss: 0.3 })

test('a change is in force in 2 s on all nodes although the store is silent for the first five readers of each zone', playChange,
  { nodeCount: 60, seed: 27, fault: 'silent', readersLost: 5, othersLost: 0.5, gapMs: 50 })

test('an evacuation is in force in 2 s on all of 230 nodes', playEvacuation,
  { nodeCount: 230, seed: 5, fault: 'none', readersLost: 0, othersLost: 0, gapMs: 400 })

test('an evacuation is in force in 2 s on all nodes although the store refuses the reader of each zone and half of the others', playEvacuation,
  { nodeCount: 60, seed: 6, fault: 'busy', readersLost: 1, othersLost: 0.5, gapMs: 400 })

for (const seed of [7, 8, 9]) {
  test(`an evacuation is in force in 2 s on all nodes although the store is silent for the first three readers of each zone: ${seed}`, playEvacuation,
    { nodeCount: 60, seed, fault: 'silent', readersLost: 3, othersLost: 0.3, gapMs: 50 })
}

test('a node says whether a newer configuration may be in force, and none does so while all is well', async t => {
  const fleet = await createSimulatedStoreFleet({ nodeCount: 60, zones: ZONES, seedCount: SEED_COUNT, seed: 6 })
  t.teardown(fleet.stop)
  await fleet.run(SETTLE_MS)
  const doubting = (): SimulatedNode[] => fleet.nodes.filter(({ runtime }) => runtime.configurationStatus().reason !== undefined)
  for (let check = 0; check < 20; check++) {
    await fleet.run(250)
    t.deepEqual(doubting().map(({ id }) => id), [])
  }
  for (const node of fleet.nodes) node.storeFault = 'silent'
  await fleet.run(FAULT_MS)
  t.is(doubting().length, fleet.nodes.length)
  t.true(fleet.nodes.every(({ runtime }) => runtime.configurationStatus().state === 'service-unreachable'))
  const cutOff = fleet.nodes[0] as SimulatedNode
  for (const node of fleet.nodes) if (node !== cutOff) node.storeFault = 'none'
  await fleet.run(FAULT_MS)
  t.true(doubting().every(node => node === cutOff), `${doubting().length} nodes`)
})
