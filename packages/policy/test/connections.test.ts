/** Guards against non-idempotent requests on possibly silent connections, against silent connections that stay in use, and against more connections than a target accepts. */
import test from 'ava'
import fc from 'fast-check'
import { chooseConnection, connectionShare, createCallerLimits, findSilentConnections, type ConnectionView } from '../src/index.js'
import { assertProperty } from './property.js'

const NOW_MS = 20_000
const time = fc.integer({ min: 0, max: NOW_MS })
const connection = fc.record({ openedMs: time, progressMs: time, answeredMs: fc.option(time, { nil: undefined }), sentMs: time, busy: fc.boolean(), retired: fc.boolean() })
const toView = (raw: { openedMs: number, progressMs: number, answeredMs: number | undefined, sentMs: number, busy: boolean, retired: boolean }, id: number): ConnectionView => ({
  id,
  openedMs: raw.openedMs,
  lastProgressMs: Math.max(raw.openedMs, raw.progressMs),
  lastResponseMs: raw.answeredMs === undefined ? undefined : Math.max(raw.openedMs, raw.answeredMs),
  isBusy: raw.busy,
  isRetired: raw.retired,
  sentMs: raw.busy ? Math.max(raw.openedMs, raw.sentMs) : undefined
})
const pool = fc.array(connection, { maxLength: 13 }).map(raws => raws.map(toView))

test('property: a non-idempotent request reuses only an idle connection that answered or opened within 1 s', t => {
  assertProperty(t, fc.property(pool, fc.boolean(), (connections, idempotent) => {
    const choice = chooseConnection(connections, { idempotent, share: 12 }, NOW_MS)
    const idle = connections.filter(({ isBusy, isRetired }) => !isBusy && !isRetired)
    const fresh = idle.filter(({ lastResponseMs, openedMs }) => NOW_MS - (lastResponseMs ?? openedMs) <= 1000)
    const suitable = idempotent ? idle : fresh
    if (choice.choice === 'reuse') return suitable.some(({ id }) => id === choice.id)
    if (suitable.length > 0) return false
    if (choice.choice === 'open') return connections.length < 12
    const closed = connections.find(({ id }) => id === choice.closeFirstId)
    return connections.length >= 12 && (closed ? !closed.isBusy : connections.every(({ isBusy }) => isBusy))
  }), 1000)
})

test('property: exactly the silent connections and those of the same age are retired', t => {
  assertProperty(t, fc.property(pool, fc.option(fc.integer({ min: 1, max: 500 }), { nil: undefined }), (connections, p99Ms) => {
    const limitMs = Math.max(250, 4 * (p99Ms ?? 0))
    const lastMs = ({ lastProgressMs, sentMs }: ConnectionView): number => Math.max(lastProgressMs, sentMs ?? 0)
    const silent = connections.filter(candidate => candidate.isBusy && NOW_MS - lastMs(candidate) > limitMs &&
      connections.some(other => other.openedMs > candidate.openedMs && (other.lastResponseMs ?? -1) > lastMs(candidate)))
    const expected = connections.filter(candidate => !candidate.isRetired &&
      (silent.includes(candidate) || silent.some(other => candidate.openedMs < lastMs(other))))
    return JSON.stringify(findSilentConnections(connections, NOW_MS, p99Ms)) === JSON.stringify(expected.map(({ id }) => id))
  }), 1000)
})

test('connections of a slow target are not retired unless a newer connection answers', t => {
  const slow: ConnectionView = { id: 1, openedMs: 0, lastProgressMs: 100, isBusy: true, isRetired: false, sentMs: 100 }
  const older: ConnectionView = { id: 0, openedMs: -5, lastProgressMs: 900, lastResponseMs: 900, isBusy: false, isRetired: false }
  t.deepEqual(findSilentConnections([older, slow], 1000), [])
  t.deepEqual(findSilentConnections([older, slow, { ...older, id: 2, openedMs: 500 }], 1000), [0, 1])
})

test('property: the connection shares of all nodes stay within the limit of a target', t => {
  t.is(connectionShare(300, 24), 12)
  t.is(connectionShare(320, 24), 13)
  assertProperty(t, fc.property(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 0, max: 5000 }), (nodes, spare) =>
    nodes * connectionShare(nodes + spare, nodes) <= nodes + spare))
})

const options = { connectionsMax: 2, requestsPerS: 10, requestBurst: 5, callersMax: 3 }

test('connections and requests are limited per caller address, and other callers are not affected', t => {
  const limits = createCallerLimits(options)
  t.deepEqual([1, 2, 3].map(() => limits.tryOpenConnection('a')), [true, true, false])
  limits.recordConnectionClosed('a')
  t.true(limits.tryOpenConnection('a'))
  for (let count = 0; count < 5; count++) t.true(limits.tryRequest('a', 0).ok)
  t.deepEqual(limits.tryRequest('a', 0), { ok: false, retryAfterMs: 100 })
  t.true(limits.tryRequest('b', 0).ok)
  t.true(limits.tryRequest('a', 100).ok)
  t.false(limits.tryRequest('a', 100).ok)
  const allowed = Array.from({ length: 20 }, () => limits.tryRequest('a', 60_000).ok)
  t.is(allowed.filter(ok => ok).length, 5)
})

test('property: a caller never exceeds its burst plus its rate', t => {
  assertProperty(t, fc.property(fc.array(fc.integer({ min: 0, max: 300 }), { maxLength: 80 }), gaps => {
    const limits = createCallerLimits(options)
    let nowMs = 0
    let allowed = 0
    for (const gapMs of gaps) {
      nowMs += gapMs
      if (limits.tryRequest('a', nowMs).ok) allowed++
    }
    return allowed <= 5 + nowMs / 100 + 1e-6
  }))
})
