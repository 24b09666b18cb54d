/**
 * Guards against callers that come back together or after their deadline, against
 * repeats that take the place of other requests, and against retries that are sent
 * to a full target while another one is possible.
 */
import test from 'ava'
import { createRandom } from '@wisteriavalve/common'
import { createScarcity, createTargetTable, planPlacement, spreadRetryAfterMs, type PlacementRequest, type ScarceRequest } from '../src/index.js'
import { createPlacementRequest } from './placement-request.js'

const NOW_MS = 10_000
const FULL = { inFlight: 4, slots: 4, slowdown: 1 }

const createTable = (count: number) => {
  const table = createTargetTable({ service: 's', slotsPerTarget: 4, connectionShare: 8 })
  table.setTargets(Array.from({ length: count }, (_, index) => ({ id: `t${index}`, host: '127.0.0.1', port: 9_000 + index, zone: 'a' })), 0)
  return table
}

const createRequest = (identity: string): ScarceRequest =>
  ({ weight: 1, serviceTimeMs: 100, objectiveEndMs: NOW_MS + 400, deadlineMs: NOW_MS + 3_000, identity: () => identity, resume: () => undefined })

test('Retry-After grows with the overload and stays within a third of the remaining time', t => {
  t.true(spreadRetryAfterMs(1, 30_000, 1) < spreadRetryAfterMs(0.4, 30_000, 1))
  for (const spread of [0, 0.5, 1]) t.true(spreadRetryAfterMs(0.1, 900, spread) <= 300)
  t.true(spreadRetryAfterMs(0.5, 3_000, 1) - spreadRetryAfterMs(0.5, 3_000, 0) >= 500)
})

test('a request that is repeated at once is refused again, and another one on the same node is not', t => {
  const scarcity = createScarcity()
  const table = createTable(1)
  const random = createRandom(3)
  const search = scarcity.begin(createRequest('repeated'), table.routing(NOW_MS), NOW_MS, random)
  t.true('refuse' in search && search.refuse({ step: 'refuse', cause: 'late', retryAfterMs: 100 }, NOW_MS).detail !== undefined)
  t.true('step' in scarcity.begin(createRequest('repeated'), table.routing(NOW_MS), NOW_MS + 5, random))
  t.false('step' in scarcity.begin(createRequest('other'), table.routing(NOW_MS), NOW_MS + 5, random))
  t.false('step' in scarcity.begin(createRequest('repeated'), table.routing(NOW_MS), NOW_MS + 1_000, random))
  t.is(scarcity.refusals().get(1), 2)
})

test('a retry is not sent to a target whose fresh report shows that it is full while another one is possible', t => {
  const table = createTable(2)
  table.recordLoadReport('t0', { ...FULL, inFlight: 12 }, NOW_MS - 100)
  table.recordLoadReport('t1', FULL, NOW_MS)
  const chosenBy = (fields: Partial<PlacementRequest>): string | undefined => {
    const request = createPlacementRequest(NOW_MS, { canRefuse: false, objectiveEndMs: NOW_MS, probed: new Set(['t0', 't1']), ...fields })
    const placement = planPlacement(table.routing(NOW_MS), request, NOW_MS, createRandom(5))
    return placement.step === 'send' ? placement.targetId : undefined
  }
  t.is(chosenBy({ avoidsReportedFull: true }), 't0')
  // Without admission by priority, the lowest cost decides.
  t.is(chosenBy({}), 't1')
})
