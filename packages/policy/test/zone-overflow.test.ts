/**
 * Guards against requests that leave their zone for less than their bytes cost,
 * against a zone that keeps requests that would miss their objective, and against a
 * share that jumps, follows noise, or grows while other zones are full.
 */
import test from 'ava'
import { createRandom, type ListedTarget } from '@wisteriavalve/common'
import { createResponseSizes, createTargetTable, createZoneOverflow, createZoneRoundTrips, planPlacement, type LoadReport, type OverflowOutcome, type PlacementRequest, type ZoneOverflow } from '../src/index.js'
import { nextShare, SHARE_STEP } from '../src/zone-overflow.js'
import type { ZoneCrossing } from '../src/types/placement.js'
import { createPlacementRequest } from './placement-request.js'

const NOW_MS = 10_000
const IDLE: LoadReport = { inFlight: 0, slots: 4, slowdown: 1 }
const FULL: LoadReport = { inFlight: 4, slots: 4, slowdown: 1 }
const SLOWED: LoadReport = { inFlight: 0, slots: 4, slowdown: 5 }
const CROSSING: ZoneCrossing = { bytes: 1_500, msPerKb: 1, waitedMs: 0, roundTripMs: () => 3, mayLeave: () => true }

/** Targets t0, t1, ... in these zones with a fresh report each; undefined for a target without one. */
const plan = (targets: readonly [zone: string, report: LoadReport | undefined][], crossing: Partial<ZoneCrossing> = {}, fields: Partial<PlacementRequest> = {}) => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8 })
  table.setTargets(targets.map(([zone], index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9000 + index, zone })), 0)
  targets.forEach(([, report], index) => { if (report) table.recordLoadReport(`t${index}`, report, NOW_MS) })
  const request = createPlacementRequest(NOW_MS, { objectiveEndMs: NOW_MS + 900, crossing: { ...CROSSING, ...crossing }, ...fields })
  return planPlacement(table.routing(NOW_MS), request, NOW_MS, createRandom(5))
}

test('a small request leaves a full zone, and the reason says why', t => {
  const placement = plan([['a', FULL], ['b', IDLE]])
  t.like(placement, { step: 'send', targetId: 't1', overflow: 'left' })
  t.regex(placement.step === 'send' ? placement.reason : '', /^sent to b since that saves time, round trip 3 ms, 1500 bytes: /)
})

test('a request whose bytes cost more than the wait stays, until it has waited longer', t => {
  t.like(plan([['a', FULL], ['b', IDLE]], { bytes: 90_000 }), { step: 'wait', overflow: 'stayed' })
  t.like(plan([['a', FULL], ['b', IDLE]], { bytes: 90_000, waitedMs: 250 }), { step: 'send', targetId: 't1' })
})

test('a request that would miss its objective in its zone leaves despite its bytes', t => {
  const placement = plan([['a', FULL], ['b', IDLE]], { bytes: 90_000 }, { objectiveEndMs: NOW_MS + 150 })
  t.like(placement, { step: 'send', targetId: 't1', overflow: 'left' })
  t.regex(placement.step === 'send' ? placement.reason : '', /would miss its objective/)
})

test('a request that the share keeps waits, and goes to its own zone at last', t => {
  t.like(plan([['a', FULL], ['b', IDLE]], { mayLeave: () => false }), { step: 'wait', overflow: 'limited' })
  t.like(plan([['a', SLOWED], ['b', IDLE]], { mayLeave: () => false }, { objectiveEndMs: NOW_MS + 50 }), { step: 'send', targetId: 't0', overflow: 'limited' })
})

test('when all zones are full, a request waits as in its own zone and is refused when it cannot', t => {
  t.like(plan([['a', FULL], ['b', FULL]]), { step: 'wait', overflow: 'none-free' })
  t.like(plan([['a', FULL], ['b', FULL]], {}, { objectiveEndMs: NOW_MS + 50 }), { step: 'refuse', cause: 'late' })
})

test('a zone without recent reports is probed once', t => {
  t.deepEqual(plan([['a', FULL], ['b', undefined]]), { step: 'probe', targetIds: ['t1'] })
  t.like(plan([['a', FULL], ['b', FULL], ['b', undefined]], {}, { probed: new Set(['t1']) }), { step: 'wait', overflow: 'none-free' })
})

test('the share does not bind a zone without a target', t => {
  const placement = plan([['b', IDLE]], { bytes: 90_000, mayLeave: () => false })
  t.like(placement, { step: 'send', targetId: 't0' })
  t.is(placement.overflow, undefined)
})

test('cold targets of the own zone are left only for warm ones', t => {
  const planCold = (coldIds: readonly string[]) => {
    const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8 })
    table.setTargets([['t0', 'a'], ['t1', 'b']].map(([id, zone]) => ({ id, host: '127.0.0.1', port: 9000, zone } as ListedTarget)), 0)
    const routing = table.routing(NOW_MS)
    for (const state of routing.candidates) {
      table.recordLoadReport(state.target.id, IDLE, NOW_MS)
      if (coldIds.includes(state.target.id)) state.health = 'cold'
      else state.health = 'ready'
    }
    return planPlacement(routing, createPlacementRequest(NOW_MS, { crossing: { ...CROSSING, mayLeave: () => false } }), NOW_MS, createRandom(5))
  }
  t.like(planCold(['t0']), { step: 'send', targetId: 't1' })
  t.like(planCold(['t0', 't1']), { step: 'send', targetId: 't0' })
})

const feed = (overflow: ZoneOverflow, outcomes: readonly OverflowOutcome[], intervals: number, startMs = NOW_MS): number[] =>
  Array.from({ length: intervals }, (_, interval) => {
    outcomes.forEach((outcome, index) => overflow.record(outcome, startMs + 100 * interval + index))
    return overflow.share()
  })

const FOUR = (outcome: OverflowOutcome): OverflowOutcome[] => [outcome, outcome, outcome, outcome, outcome]

test('the share changes by a bounded step, rises with the demand and falls when other zones are full', t => {
  const overflow = createZoneOverflow()
  const shares = [...feed(overflow, FOUR('limited'), 30), ...feed(overflow, FOUR('none-free'), 30, NOW_MS + 3_000), ...feed(overflow, FOUR('stayed'), 30, NOW_MS + 6_000)]
  shares.slice(1).forEach((share, index) => t.true(Math.abs(share - (shares[index] as number)) <= SHARE_STEP + 1e-9))
  t.is(shares[29], 1)
  t.true((shares[59] as number) < 0.1)
})

test('demand between the two thresholds leaves the share as it is', t => {
  t.is(nextShare(0.5, 0.3, 0), 0.5)
  t.true(nextShare(0.5, 0.45, 0) > 0.5)
  t.true(nextShare(0.5, 0.1, 0) < 0.5)
  t.true(nextShare(0.5, 0.45, 0.5) < 0.5)
})

test('requests beyond the share are kept, and a few more may leave before they miss their objective', t => {
  const overflow = createZoneOverflow()
  let savedCount = 0
  while (overflow.mayLeave('saves-time') && savedCount < 100) {
    overflow.record('left', NOW_MS)
    savedCount++
  }
  t.true(savedCount < 100)
  t.true(overflow.mayLeave('misses-objective'))
})

test('response sizes and round trips are learned, with an assumption before the first samples', t => {
  const sizes = createResponseSizes()
  t.is(sizes.usualBytes('download'), 2_048)
  for (let count = 0; count < 20; count++) sizes.record('download', count === 0 ? 5_000_000 : 90_000)
  t.is(sizes.usualBytes('download'), 90_000)
  const roundTrips = createZoneRoundTrips()
  t.is(roundTrips.usualMs('b'), 5)
  for (const roundTripMs of [30, 3, 3.1, 25]) roundTrips.record('b', roundTripMs)
  t.true(roundTrips.usualMs('b') < 4)
})
