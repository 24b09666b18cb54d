/**
 * Guards against misleading figures: alerts shown as calm although data is
 * missing, impossible counts, minutes counted twice, and wrong burn rates.
 */
import test from 'ava'
import fc from 'fast-check'
import type { NodeReport } from '@wisteriavalve/schema'
import { buildReport, collectRuns } from '../src/report/build.js'
import { mergeHistory, parseHistory, formatHistory } from '../src/report/history.js'
import { renderReportHtml } from '../src/report/report-html.js'
import { describeReport, formatPercent } from '../src/report/report-text.js'
import { createBucket, createEvent, createReport, MINUTE_MS } from './fleet-double.js'

const NOW = Date.UTC(2026, 11, 4, 5, 0, 0)
const HOUR_MS = 60 * MINUTE_MS
const ago = (minutes: number): number => NOW - minutes * MINUTE_MS

const build = (reports: NodeReport[], missing: { nodeId: string, reason: string }[] = []) => {
  const { runs, problems } = collectRuns(reports, NOW)
  return buildReport(runs, { nodes: reports, missing }, problems, NOW)
}

/** One bucket per minute with the given number of failures among 1,000 requests. */
const minutes = (count: number, failedAt: (minutesAgo: number) => number) =>
  Array.from({ length: count }, (_, index) => createBucket(ago(index + 1), 1000, failedAt(index + 1)))

const states = (reports: NodeReport[], missing = [] as { nodeId: string, reason: string }[]) => build(reports, missing).fleet.alerts.map(({ state }) => state)

test('burn rates and thresholds match the Site Reliability Workbook', t => {
  const { fleet } = build([createReport('a', ago(90), minutes(60, () => 10))])
  const [fast] = fleet.alerts
  t.is(fast?.short.burnRate?.toFixed(6), '10.000000')
  t.deepEqual(fleet.alerts.map(({ threshold }) => threshold.toFixed(3)), ['14.400', '6.000', '3.000'])
  t.is(fleet.budget?.usedPercent.toFixed(4), (10 / 30 / 24 * 100).toFixed(4))
  t.false(fleet.budget?.isCovered)
})

test('an alert fires only when both windows burn too fast: neither after a burst has ended nor in its first minutes', t => {
  t.is(states([createReport('a', ago(90), minutes(60, () => 20))])[0], 'firing')
  t.is(states([createReport('a', ago(90), minutes(60, at => at > 10 ? 40 : 0))])[0], 'calm')
  t.is(states([createReport('a', ago(90), minutes(60, at => at <= 2 ? 40 : 0))])[0], 'calm')
})

test('with too little data, missing nodes or restarted nodes an alert is unknown and never calm', t => {
  const good = minutes(60, () => 0)
  t.deepEqual(states([createReport('a', ago(90), good)]), ['calm', 'unknown', 'unknown'])
  t.is(states([createReport('a', ago(30), good.slice(0, 30))])[0], 'unknown')
  const truncated = Array.from({ length: 20_000 }, (_, index) => createBucket(ago(1 + index % 10), 100, 0, { kind: `k-${index}` }))
  t.is(states([createReport('a', ago(90), truncated)])[0], 'unknown')
  t.is(states([createReport('a', ago(90), good)], [{ nodeId: 'b', reason: 'timeout' }])[0], 'unknown')
  const restarted = ['b', 'c', 'd'].map(nodeId => createReport(nodeId, ago(5), good.slice(0, 5)))
  t.is(states([createReport('a', ago(90), good), ...restarted])[0], 'unknown')
  t.is(states([createReport('a', ago(90), minutes(60, () => 20))], [{ nodeId: 'b', reason: 'timeout' }])[0], 'firing')
})

test('without requests or objective there is no share, rate or budget', t => {
  const empty = build([createReport('a', ago(90), [createBucket(ago(1), 0, 0)])])
  t.deepEqual([empty.fleet.inTimePercent, empty.fleet.alerts[0]?.long.burnRate, empty.fleet.budget], [undefined, undefined, undefined])
  const withoutObjective = build([createReport('a', ago(90), [createBucket(ago(1), 10, 1, { objective: undefined })])])
  t.deepEqual([withoutObjective.fleet.alerts[0]?.state, withoutObjective.fleet.budget], ['unknown', undefined])
  t.is(build([]).data, undefined)
  t.regex(describeReport(build([])).join('\n'), /no data\n/)
  t.is(formatPercent(99.99999), '99.999%')
})

test('requests count by the weight of their kind', t => {
  const { services } = build([createReport('a', ago(90), [
    createBucket(ago(1), 100, 0, { kind: 'page', weight: 10 }), createBucket(ago(1), 100, 1, { kind: 'order', weight: 90 })
  ])])
  t.is(services[0]?.inTimePercent?.toFixed(3), '99.100')
  t.is(services[0]?.alerts[0]?.long.burnRate?.toFixed(3), '9.000')
})

test('impossible counts, counts from the future and nodes with a wrong clock are left out and listed as problems', t => {
  const report = build([
    createReport('a', ago(90), [createBucket(ago(1), 10, 0), createBucket(ago(2), 5, 0, { inTime: 9 }), createBucket(ago(3), -5, 0), createBucket(ago(-30), 10, 10)]),
    createReport('b', ago(-60), [createBucket(ago(1), 10, 10)])
  ])
  t.deepEqual(report.fleet.counts, { requests: 10, inTime: 10 })
  t.is(report.problems.length, 3)
  t.false(report.isComplete)
})

test('the consumers of the budget are listed by target, cause and hour', t => {
  const { services } = build([createReport('a', ago(90), [
    createBucket(ago(10), 100, 6, { failures: [{ cause: 'late', targetId: 's-1', count: 3 }, { cause: 'WV-1005', targetId: '', count: 2 }] }),
    createBucket(ago(70), 100, 2)
  ])])
  const { causes, targets, hours } = services[0]!.consumers
  t.deepEqual(causes.map(({ name, count }) => [name, count]), [['late', 5], ['WV-1005', 2], ['not noted', 1]])
  t.deepEqual(targets.map(({ name, count }) => [name, count]), [['s-1', 3], ['no target', 2], ['stock-1', 2], ['not noted', 1]])
  t.deepEqual(hours.map(({ name, count }) => [name, count]), [['2026-12-04 04:00', 6], ['2026-12-04 03:00', 2]])
})

test('automatic recovery is distinguished from a new configuration, an ongoing incident and missing traffic', t => {
  const recoveryOf = (badUntil: number, lastMinute: number, events = [createEvent(ago(20))]) =>
    build([createReport('a', ago(90), minutes(60, at => at >= badUntil && at <= 22 ? 100 : 0).filter(({ minuteWallMs }) => minuteWallMs <= ago(lastMinute)), events)]).incidents.map(({ recovery }) => recovery)
  t.deepEqual(recoveryOf(18, 1), ['by-itself'])
  t.deepEqual(recoveryOf(1, 1), ['ongoing'])
  t.deepEqual(recoveryOf(18, 18), ['no-traffic'])
  t.deepEqual(recoveryOf(18, 1, [createEvent(ago(20), { event: 'configuration_adopted' })]), ['after-configuration'])
  t.deepEqual(recoveryOf(60, 1), [])
  const [incident] = build([createReport('a', ago(21), minutes(60, at => at >= 18 && at <= 22 ? 100 : 0), [createEvent(ago(21) + 500), createEvent(ago(20))])]).incidents
  t.deepEqual(incident?.actions.map(({ wallMs }) => wallMs), [ago(20)])
})

test('with 2,200 services only those with the highest burn rates are shown', t => {
  const buckets = Array.from({ length: 20_000 }, (_, index) =>
    createBucket(ago(1 + Math.floor(index / 2200)), 100, index % 2200 === 1234 ? 50 : 0, { service: `s-${index % 2200}` }))
  const reports = Array.from({ length: 24 }, (_, index) => createReport(`n-${index}`, ago(90), buckets))
  const startMs = performance.now()
  const lines = describeReport(build(reports))
  t.log(`services=2200 nodes=24 buckets=${24 * buckets.length} build_ms=${Math.round(performance.now() - startMs)}`)
  t.is(lines.filter(line => line.startsWith('service s-')).length, 20)
  t.is(lines.find(line => line.startsWith('service s-')), 'service s-1234')
  t.true(lines.includes('2180 services with a lower burn rate over 1 h not shown; see --service or --json'))
})

test('a history provides data for longer windows, counts each minute once and can be written and read again', t => {
  const collect = (nowMs: number) => collectRuns([createReport('a', NOW - 30 * HOUR_MS, Array.from({ length: 60 }, (_, index) => createBucket(nowMs - (index + 1) * MINUTE_MS, 100, 0)))], nowMs).runs
  let runs = collect(NOW - 25 * HOUR_MS)
  for (let nowMs = NOW - 25 * HOUR_MS; nowMs <= NOW; nowMs += 30 * MINUTE_MS) {
    runs = mergeHistory(parseHistory(formatHistory(runs))?.runs ?? [], collect(nowMs), nowMs)
  }
  const { fleet } = buildReport(runs, { nodes: [], missing: [] }, [], NOW)
  t.deepEqual(fleet.alerts.map(({ state }) => state), ['calm', 'calm', 'calm'])
  t.is(fleet.counts.requests, 26 * 60 * 100)
  const gap = mergeHistory(collect(NOW - 5.5 * HOUR_MS), collect(NOW), NOW)
  t.is(buildReport(gap, { nodes: [], missing: [] }, [], NOW).fleet.alerts[1]?.state, 'unknown')
  for (const text of ['', '{}', 'null', '{"format":2,"runs":[]}', '{"format":1,"runs":[{"nodeId":"a"}]}']) t.is(parseHistory(text), undefined)
})

test('no input leads to a share above 100%, a negative rate or unescaped markup', t => {
  const count = fc.integer({ min: -3, max: 1000 })
  const bucket = fc.record({ at: fc.integer({ min: -100, max: 200 }), requests: count, failed: count, kind: fc.constantFrom('a', '<b>'), weight: fc.constantFrom(1, 50, 0, -1) })
  fc.assert(fc.property(fc.array(bucket, { maxLength: 20 }), fc.integer({ min: -200, max: 200 }), (buckets, since) => {
    const report = build([createReport('<i>', ago(since), buckets.map(({ at, requests, failed, ...rest }) => createBucket(ago(at), requests, failed, { service: '<u>', ...rest })))])
    for (const level of [report.fleet, ...report.services, ...report.services.flatMap(({ kinds }) => kinds)]) {
      for (const rate of level.alerts.flatMap(({ short, long }) => [short.burnRate, long.burnRate])) t.true(rate === undefined || (rate >= 0 && rate <= 1001))
      t.true(level.inTimePercent === undefined || (level.inTimePercent >= 0 && level.inTimePercent <= 100))
    }
    const text = renderReportHtml(report) + describeReport(report).join('\n').replaceAll(/<[bui]>/g, '')
    t.notRegex(text, /<[bui]>|NaN|Infinity|undefined/)
  }), { seed: 20261204, numRuns: 200 })
})
