/** Guards against requests that are routed to the wrong service, and against kinds that are wrongly treated as idempotent. */
import test from 'ava'
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import { classifyRequest, createServiceIndex, parseLoadReport } from '../src/index.js'

const objective = { inTimePercent: 99, windowDays: 28 }
const kind = (name: string, methods: [string], path: string): Kind =>
  ({ name, methods, path, idempotent: true, deadlineMs: 100, boundedBy: 'deadline', weight: 5, bodyBytesMax: 0, objective })
const service = (name: string, pathPrefix: string, hosts: string[], kinds: [Kind, ...Kind[]]): ServiceConfiguration => ({
  format: 1, name, pathPrefix, hosts, slotsPerTarget: 4, connectionsPerTarget: 300, healthPath: '/health', defaultDeadlineMs: 700, targets: [], objective, kinds
})
const index = createServiceIndex([
  service('stock', '/stock', ['stock.example'], [kind('item', ['GET'], '/stock/items/*'), kind('rest', ['GET'], '/stock/pages/**')]),
  service('stock-admin', '/stock/admin', [], [kind('all', ['GET'], '/stock/admin/**')])
])
const classify = (method: string, path: string, host?: string): string => {
  const found = classifyRequest(index, { method, path, host })
  return found.ok ? `${found.service.name}/${found.kind.name}/${found.kind.idempotent}/${found.kind.deadlineMs}` : found.error
}

test('the longest path prefix wins, and only whole segments match', t => {
  t.is(classify('GET', '/stock/admin/x'), 'stock-admin/all/true/100')
  t.is(classify('GET', '/stock/adminx'), 'stock/unknown/false/700')
  t.is(classify('GET', '/stocks/items/1'), 'service-unknown')
})

test('the host selects a service regardless of its case and port', t => {
  t.is(classify('GET', '/other', 'Stock.Example:8080'), 'stock/unknown/false/700')
})

test('a pattern matches segments and ignores the query', t => {
  t.is(classify('GET', '/stock/items/7?a=/b/c'), 'stock/item/true/100')
  t.is(classify('GET', '/stock/items/'), 'stock/unknown/false/700')
  t.is(classify('GET', '/stock/items/7/8'), 'stock/unknown/false/700')
  t.is(classify('GET', '/stock/pages/a/b/c'), 'stock/rest/true/100')
})

test('an unknown method or path is never idempotent', t => {
  t.is(classify('POST', '/stock/items/7'), 'stock/unknown/false/700')
})

test('load reports are parsed in both formats, and invalid ones are ignored', t => {
  const report = { utilization: 0.75, inFlight: 3, slots: 4 }
  t.deepEqual(parseLoadReport('TEXT application_utilization=0.75,named_metrics.in_flight=3, named_metrics.slots=4'), report)
  t.deepEqual(parseLoadReport('JSON {"application_utilization":0.75,"named_metrics":{"in_flight":3,"slots":4}}'), report)
  t.deepEqual(parseLoadReport('TEXT named_metrics.in_flight=2,named_metrics.slots=x,cpu_utilization=0.3'), { inFlight: 2 })
  for (const bad of [undefined, '', 'TEXT', 'BIN AAAA', 'JSON {', 'JSON [1]', 'TEXT named_metrics.in_flight=-1', `TEXT a=${'1'.repeat(5000)}`]) {
    t.is(parseLoadReport(bad), undefined)
  }
})
