/**
 * Guards against a preview that names another target than the decision does, or
 * that changes what the node knows or may still send.
 */
import test from 'ava'
import { createManualClock, createRandom, type Route } from '@wisteriavalve/common'
import { createServiceTimes, createZoneRoundTrips, planPlacement, type LoadReport } from '@wisteriavalve/policy'
import { createPlacementRequest } from '../src/placement.js'
import { previewRequest, type PreviewContext } from '../src/request-preview.js'
import { createServiceRuntimes } from '../src/service-runtimes.js'
import { toActiveConfiguration } from '../src/fleet/published-configuration.js'
import type { DaemonSettings } from '../src/types.js'

const IDLE: LoadReport = { inFlight: 0, slots: 4, slowdown: 1 }
const FULL: LoadReport = { inFlight: 4, slots: 4, slowdown: 1 }
const OBJECTIVE = { inTimePercent: 99, windowDays: 28 }

const ROUTE: Route = {
  name: 'orders',
  host: 'shop.example',
  pathPrefix: '/orders/',
  destinations: [{ service: 'desk', weight: 3 }, { service: 'spare', weight: 1 }],
  kind: { name: 'orders', methods: ['*'], path: '/**', idempotent: false, deadlineMs: 1_000, boundedBy: 'deadline', weight: 99, bodyBytesMax: 1_000, objectiveMs: 400, attemptsMax: 2, objective: OBJECTIVE }
}

const createContext = (): PreviewContext => {
  const clock = createManualClock(10_000)
  const runtimes = createServiceRuntimes({
    clock,
    random: createRandom(1),
    probesBeforeAttempt: true,
    onHealth: () => undefined,
    onRequestLimit: () => undefined,
    onTargetPause: () => undefined,
    onSilent: () => undefined,
    onWarmup: () => undefined,
    onOpenResult: () => undefined
  })
  const service = (name: string) => ({ name, healthPath: '/health', connectionsPerTarget: 100 })
  const callerBounds = { headerBytesMax: 1_000, bodyBytesMax: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
  runtimes.applyConfiguration(toActiveConfiguration({ version: 1, restoreCount: 0, routes: [ROUTE], services: [service('desk'), service('spare')], callerBounds }, { zone: 'a', fleet: 'f' } as DaemonSettings))
  const target = (id: string, index: number) => ({ id, host: '127.0.0.1', port: 9_000 + index, zone: 'a' })
  runtimes.applyTargets('desk', { targets: ['d0', 'd1', 'd2'].map(target), leavingIds: [] })
  runtimes.applyTargets('spare', { targets: [], leavingIds: [] })
  return { clock, zone: 'a', policy: 'adaptive', probesBeforeAttempt: true, serviceTimes: createServiceTimes(), runtimes, nodeId: 'n1', random: createRandom(1), crossZoneMsPerKb: undefined, roundTrips: createZoneRoundTrips() }
}

const report = ({ runtimes, clock }: PreviewContext, reports: readonly LoadReport[], ageMs = 0): void =>
  reports.forEach((load, index) => runtimes.get('desk')?.table.recordLoadReport(`d${index}`, load, clock.nowMs() - ageMs))

const QUERY = { method: 'POST', host: 'shop.example', path: '/orders/7', bodyBytes: 100 }

test('a preview names the target that the decision chooses, and each service of a split route with its share', t => {
  const context = createContext()
  report(context, [FULL, IDLE, FULL])
  const { services: [desk, spare] } = previewRequest(context, QUERY)
  const nowMs = context.clock.nowMs()
  const request = createPlacementRequest(context, { kind: ROUTE.kind, arrivedMs: nowMs, deadlineMs: nowMs + 1_000 }, 'first', { probed: new Set(), canProbe: () => true, exclude: new Set(), bodyBytes: 100 })
  const placement = planPlacement(context.runtimes.get('desk')!.table.routing(nowMs), request, nowMs, createRandom(2))
  t.is(placement.step === 'send' && placement.targetId, 'd1')
  t.like(desk, { service: 'desk', share: 0.75, idempotent: false, probesFirst: [], decision: { outcome: 'send', targetId: 'd1' } })
  t.like(spare, { service: 'spare', share: 0.25, decision: { outcome: 'none' } })
})

test('with old reports a preview names the target that is asked first, and when all are full it says that the request is refused', t => {
  const context = createContext()
  report(context, [FULL, IDLE, FULL], 200)
  t.is(previewRequest(context, QUERY).services[0]?.probesFirst.length, 1)
  report(context, [FULL, FULL, FULL])
  context.serviceTimes.record('orders', 390, 1)
  for (let index = 0; index < 10; index++) context.serviceTimes.record('orders', 390, 1)
  t.is(previewRequest(context, QUERY).services[0]?.decision.outcome, 'refuse')
})

test('a preview changes nothing: targets, route shares and later choices stay as they were', t => {
  const [one, other] = [createContext(), createContext()]
  for (const context of [one, other]) report(context, [IDLE, FULL, FULL], 30)
  const before = one.runtimes.status(one.clock.nowMs())
  for (let count = 0; count < 50; count++) previewRequest(one, QUERY)
  t.deepEqual(one.runtimes.status(one.clock.nowMs()), before)
  const classify = ({ runtimes }: PreviewContext) => Array.from({ length: 8 }, () => runtimes.index()?.classify(QUERY))
  t.deepEqual(classify(one).map(found => found?.ok && found.service.name), classify(other).map(found => found?.ok && found.service.name))
})

test('a path without a route, and a node without a configuration, give a preview without services', t => {
  t.like(previewRequest(createContext(), { ...QUERY, path: '/other' }), { isConfigured: true, services: [] })
  const context = createContext()
  t.like(previewRequest({ ...context, runtimes: { ...context.runtimes, index: () => undefined } }, QUERY), { isConfigured: false, services: [] })
})
