/**
 * Guards against requests of a route with allowed regions that reach another
 * region through a first choice, a retry, a hedge or a peer, and against entry
 * answers that name nodes of other regions.
 */
import test from 'ava'
import type { PublishedRoute } from '@wisteriavalve/common'
import { buildZoneEntryAnswer, type PublishedConfiguration } from '@wisteriavalve/fleet'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { toActiveConfiguration } from '../src/fleet/published-configuration.js'
import { entryZones, findUnknownRegions, withAllowedZones, type EntryCaller } from '../src/fleet/route-zones.js'
import { createNodeSettings } from './fleet-nodes.js'
import { call, createKind, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const ZONE_REGIONS = { a: 'north', b: 'north', c: 'south', d: 'west' }

const createRoute = (name: string, allowedRegions?: readonly string[], host = 'h.example'): PublishedRoute =>
  ({ name, host, pathPrefix: `/${name}/`, kind: createKind(), destinations: [{ service: 's', weight: 1 }], ...(allowedRegions && { allowedRegions }) })

const zonesOf = (routes: readonly PublishedRoute[], caller: EntryCaller): string[][] =>
  entryZones(withAllowedZones(routes, ZONE_REGIONS), ZONE_REGIONS, caller).map(zones => [...zones].sort())

test('regions become zones when a configuration is adopted, a route without regions is not limited, and an unknown region has no zone', t => {
  const configuration: PublishedConfiguration = {
    version: 1, restoreCount: 0, services: [], callerBounds: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, routes: [createRoute('x', ['north', 'west']), createRoute('y'), createRoute('z', ['east'])]
  }
  const settings = createNodeSettings(0, 'http://unused', { zoneRegions: ZONE_REGIONS })
  const { routes = [] } = toActiveConfiguration(configuration, settings)
  t.deepEqual(routes.map(({ allowedZones }) => allowedZones && [...allowedZones]), [['a', 'b', 'd'], undefined, []])
  t.deepEqual(findUnknownRegions(configuration.routes, ZONE_REGIONS), [{ route: 'z', region: 'east' }])
})

test('entry answers are limited to the zones of the allowed regions and of the region of the caller', t => {
  const routes = [createRoute('x', ['north']), createRoute('y', ['south'], 'other.example')]
  t.deepEqual(zonesOf(routes, { host: 'H.example:80', region: 'west' })[0], ['a', 'b', 'd'])
  t.deepEqual(zonesOf(routes, { host: 'h.example', zone: 'c' })[0], ['a', 'b', 'c'])
  t.deepEqual(zonesOf(routes, { host: 'h.example' })[0], ['a', 'b'])
  t.deepEqual(zonesOf(routes, { host: 'h.example', region: 'unknown', zone: 'unknown' })[0], ['a', 'b'])
  t.deepEqual(zonesOf(routes, { host: 'third.example', region: 'west' }), [])
  t.deepEqual(zonesOf(routes, { zone: 'a' }), [])
})

test('entry answers for a host with routes of several regions prefer zones that suit all routes', t => {
  const routes = [createRoute('x', ['north', 'south']), createRoute('y', ['south', 'west']), createRoute('z')]
  t.deepEqual(zonesOf(routes, { host: 'h.example' }), [['c'], ['a', 'b', 'c', 'd']])
})

const member = (zone: string, state: MemberUpdate['state'] = 'alive'): MemberUpdate => ({
  nodeId: `${zone}-${state}`, zone, host: zone, callerPort: 1, gossipPort: 2, peerPort: 3, incarnation: 1, state
} as MemberUpdate)

const namedZones = (members: readonly MemberUpdate[], zones: ReadonlyArray<readonly string[]>, zone?: string): string[] =>
  buildZoneEntryAnswer(members, { ...(zone !== undefined && { zone }), zones: zones.map(each => new Set(each)), addressesMax: 9, lifetimeMs: 1 }).addresses.map(address => address.zone ?? '')

test('nodes of other zones are named only when the given zones have no node, not even a leaving one', t => {
  const members = [member('a'), member('b'), member('c', 'leaving'), member('d', 'dead'), member('e')]
  t.deepEqual(namedZones(members, [['a', 'c']]), ['a'])
  t.deepEqual(namedZones(members, [['c']], 'b'), ['c'])
  t.deepEqual(namedZones(members, [['d'], ['e']]), ['e'])
  t.deepEqual(namedZones(members, [['d']]), ['a', 'b', 'e'])
  t.deepEqual(namedZones(members, []), ['a', 'b', 'e'])
})

test('retries and hedges stay in the allowed zones, and a route without targets there is refused at once as not run', async t => {
  const counts = { allowed: 0, other: 0 }
  const start = (zone: keyof typeof counts, respond: () => { status: number, delayMs: number }): Promise<number> => startBackend((_req, res) => {
    counts[zone]++
    const { status, delayMs } = respond()
    setTimeout(() => res.writeHead(status, status === 503 ? { 'x-request-not-run': 'true' } : {}).end(zone), delayMs)
  })
  const ports = await Promise.all([
    start('allowed', () => ({ status: 503, delayMs: 0 })),
    start('allowed', () => ({ status: 200, delayMs: counts.allowed % 5 === 0 ? 300 : 1 })),
    start('other', () => ({ status: 200, delayMs: 1 }))
  ])
  const plain = createService(ports)
  const service = { ...plain, targets: plain.targets.map((target, index) => ({ ...target, zone: index < 2 ? 'b' : 'a' })) }
  const { port, fleet } = await startDaemon([service])
  const route = { host: '127.0.0.1', kind: createKind({ methods: ['*'], path: '/**' }), destinations: [{ service: 'shop', weight: 1 }] }
  fleet.applyServices([service], [
    { ...route, name: 'limited', pathPrefix: '/limited/', allowedZones: new Set(['b']) },
    { ...route, name: 'nowhere', pathPrefix: '/nowhere/', allowedZones: new Set(['c']) },
    { ...route, name: 'free', pathPrefix: '/free/' }
  ])
  for (let count = 0; count < 60; count++) await call(port, { path: '/limited/x' })
  t.true(counts.allowed >= 60)
  t.is(counts.other, 0)
  const refused = await call(port, { path: '/nowhere/x' })
  t.deepEqual([refused.status, refused.headers['x-result-class']], [503, 'not-run'])
  t.truthy(refused.headers['retry-after'])
  for (let count = 0; count < 10; count++) await call(port, { path: '/free/x' })
  t.true(counts.other > 0)
})
