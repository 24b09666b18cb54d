/**
 * Guards against requests to targets of an evacuated zone, or outside of the allowed
 * zones of a route, also as a last choice, and against requests that have no
 * allowed zone and are not refused at once.
 */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { createTargetTable, planPlacement, selectPeer, selectTarget, type TargetTable } from '../src/index.js'
import { createPlacementRequest } from './placement-request.js'

const NOW_MS = 10_000
const RANDOM = createRandom(11)

/** Targets t0, t1 and so on in these zones. */
const createTable = (zones: readonly string[], evacuatedZones?: ReadonlySet<string>): TargetTable => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8, ...(evacuatedZones && { evacuatedZones }) })
  setZones(table, zones)
  return table
}

const setZones = (table: TargetTable, zones: readonly string[]): void =>
  table.setTargets(zones.map((zone, index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9_000 + index, zone })), 0)

const candidateIds = (table: TargetTable): string[] => table.routing(NOW_MS).candidates.map(({ target }) => target.id)

test('targets of evacuated zones are no candidates, and are candidates again at the end of the evacuation', t => {
  const table = createTable(['a', 'b', 'a'], new Set(['a']))
  t.deepEqual(candidateIds(table), ['t1'])
  t.deepEqual(['t0', 't1', 't9'].map(table.isEvacuated), [true, false, false])
  table.setEvacuatedZones(new Set())
  t.deepEqual(candidateIds(table), ['t0', 't1', 't2'])
})

test('a target that the list moves into an evacuated zone is no candidate any more', t => {
  const table = createTable(['a', 'b'], new Set(['c']))
  t.deepEqual(candidateIds(table), ['t0', 't1'])
  setZones(table, ['a', 'c'])
  t.deepEqual(candidateIds(table), ['t0'])
})

test('targets of an evacuated zone are not used in place of ejected ones, and do not allow more ejections', t => {
  const table = createTable(['a', 'b', 'b', 'b', 'b'], new Set(['b']))
  for (let count = 0; count < 20; count++) {
    table.recordStart('t0', NOW_MS)
    table.recordOutcome('t0', 'error-status', 1, NOW_MS)
  }
  t.deepEqual(candidateIds(table), ['t0'])
  t.false(table.routing(NOW_MS).isFailOpen)
})

test('without a target outside of the evacuated zones, there is none, and the reason is stated', t => {
  const table = createTable(['a', 'b'], new Set(['a', 'b']))
  t.is(table.capacity(NOW_MS), 0)
  t.deepEqual(planPlacement(table.routing(NOW_MS), createPlacementRequest(NOW_MS), NOW_MS, RANDOM), { step: 'none' })
  t.like(selectTarget('adaptive', table, { zone: 'a', exclude: new Set() }, NOW_MS, RANDOM), { ok: false, error: 'no-target' })
  t.is(table.zoneObstacle({}), 'all targets are in evacuated zones')
  table.setEvacuatedZones(new Set(['a']))
  t.is(table.zoneObstacle({}), undefined)
  t.is(createTable([]).zoneObstacle({}), undefined)
})

const POLICIES = ['round-robin', 'random', 'least-in-flight', 'two-choices', 'prequal', 'adaptive'] as const

for (const state of ['idle', 'busy', 'paused', 'limited'] as const) {
  test(`a request reaches only targets of its allowed zones, whichever are ${state}`, t => {
    const table = createTable(['a', 'b', 'c', 'b'])
    for (const id of ['t1', 't3']) {
      if (state === 'busy') for (let count = 0; count < 4; count++) table.recordStart(id, NOW_MS)
      if (state === 'paused') table.recordPause(id, 1_000, NOW_MS)
      if (state === 'limited') table.recordStatedLimit(id, 1, NOW_MS, NOW_MS)
    }
    const restriction = { allowedZones: new Set(['b']) }
    const seen = new Set<string>()
    for (let round = 0; round < 50; round++) {
      for (const policy of POLICIES) {
        const selection = selectTarget(policy, table, { zone: 'a', exclude: new Set(), ...restriction }, NOW_MS, RANDOM)
        if (selection.ok) seen.add(selection.targetId)
      }
      for (const canProbe of [true, false]) {
        const placement = planPlacement(table.routing(NOW_MS), createPlacementRequest(NOW_MS, { ...restriction, canProbe: () => canProbe }), NOW_MS, RANDOM)
        if (placement.step === 'send') seen.add(placement.targetId)
        if (placement.step === 'probe') for (const id of placement.targetIds) seen.add(id)
      }
    }
    t.deepEqual([...seen].filter(id => id !== 't1' && id !== 't3'), [])
    if (state === 'idle') t.is(seen.size, 2)
  })
}

test('a request whose allowed zones have no target gets none, and the reason is stated', t => {
  const table = createTable(['a', 'b'])
  for (const allowedZones of [new Set<string>(), new Set(['c'])]) {
    t.deepEqual(planPlacement(table.routing(NOW_MS), createPlacementRequest(NOW_MS, { allowedZones }), NOW_MS, RANDOM), { step: 'none' })
    t.like(selectTarget('adaptive', table, { zone: 'a', exclude: new Set(), allowedZones }, NOW_MS, RANDOM), { ok: false, error: 'no-target' })
    t.is(table.zoneObstacle({ allowedZones }), 'no target is in an allowed region')
  }
  table.setEvacuatedZones(new Set(['b']))
  t.is(table.zoneObstacle({ allowedZones: new Set(['b']) }), 'all targets are in evacuated zones')
})

test('a request is relayed only to peers in its allowed zones, also when the peers of the own zone are cut off', t => {
  const peers = createTable(['a', 'a', 'b', 'c']).routing(NOW_MS).candidates
  const zonesOf = (allowedZones: ReadonlySet<string>, isCutOff: (id: string) => boolean): string[] =>
    [...new Set(Array.from({ length: 40 }, () => selectPeer(peers, { zone: 'a', exclude: new Set(), isCutOff, allowedZones }, NOW_MS, RANDOM)?.target.zone ?? 'none'))]
  t.deepEqual(zonesOf(new Set(['c']), () => false), ['c'])
  t.deepEqual(zonesOf(new Set(['a', 'c']), id => id === 't0' || id === 't1'), ['c'])
  t.deepEqual(zonesOf(new Set(['d']), () => false), ['none'])
})
