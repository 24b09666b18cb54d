/**
 * Guards against requests that are not routed by the longest matching prefix,
 * against traffic splits that deviate from their weights over a short span, and
 * against paths that are matched together with their query.
 */
import test from 'ava'
import { createRandom, type Route } from '@wisteriavalve/common'
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import { createRouteIndex } from '../src/index.js'

const OBJECTIVE = { inTimePercent: 99, windowDays: 28 }
const kind = (name: string): Kind => ({
  name, methods: ['*'], path: '/**', idempotent: true, deadlineMs: 1000, boundedBy: 'deadline', weight: 1, bodyBytesMax: 1, objective: OBJECTIVE
})
const service = (name: string): [string, ServiceConfiguration] => [name, {
  format: 1, name, pathPrefix: '/', hosts: [], slotsPerTarget: 4, connectionsPerTarget: 4, healthPath: '/', defaultDeadlineMs: 1000, targets: [], objective: OBJECTIVE, kinds: [kind('none')]
}]
const SERVICES = new Map([service('a'), service('b')])
const route = (name: string, pathPrefix: string, destinations: Route['destinations']): Route =>
  ({ name, host: 'Shop.example', pathPrefix, kind: kind(name), destinations })
const ONLY_A = [{ service: 'a', weight: 1 }]

const classify = (routes: Route[], host: string | undefined, path: string) =>
  createRouteIndex(routes, SERVICES, createRandom(1)).classify({ method: 'GET', host, path })

test('the longest matching prefix of the host is used, regardless of the query and the case of the host', t => {
  const routes = [route('short', '/x/', ONLY_A), route('long', '/x/y/', [{ service: 'b', weight: 1 }])]
  const found = classify(routes, 'shop.EXAMPLE:8080', '/x/y/1?p=/z/')
  t.true(found.ok && found.service.name === 'b' && found.kind.name === 'long')
  const short = classify(routes, 'shop.example', '/x/y?p=/x/y/')
  t.true(short.ok && short.kind.name === 'short')
})

test('an unknown host or path, and a prefix without its slash, match no route', t => {
  const routes = [route('r', '/x/', ONLY_A)]
  for (const [host, path] of [['other', '/x/1'], ['shop.example', '/y/'], ['shop.example', '/x'], [undefined, '/x/1']] as const) {
    t.deepEqual(classify(routes, host, path), { ok: false, error: 'service-unknown' })
  }
})

test('each span of 100 requests is split by weight to within two requests', t => {
  for (const seed of [1, 2, 3]) {
    const index = createRouteIndex([route('r', '/', [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }])], SERVICES, createRandom(seed))
    for (let span = 0; span < 5; span++) {
      let toB = 0
      for (let count = 0; count < 100; count++) {
        const found = index.classify({ method: 'GET', host: 'shop.example', path: '/' })
        if (found.ok && found.service.name === 'b') toB++
      }
      t.true(Math.abs(toB - 10) <= 2, `seed ${seed}: ${toB}`)
    }
  }
})
