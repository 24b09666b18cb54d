/**
 * Guards against callers that exceed their limits, refusals that wait for a body
 * or a queue, and requests that continue after their caller has disconnected.
 */
import { once } from 'node:events'
import { request, type IncomingMessage } from 'node:http'
import test from 'ava'
import type { ServiceConfiguration } from '@wisteriavalve/schema'
import { call, waitForClose, createDeferred, createKind, ORDER, createRawCaller, READ, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const startOkBackend = () => startBackend((req, res) => { req.resume().on('end', () => res.end('ok')) })

test('a header over 16 KiB is refused', async t => {
  const daemon = await startDaemon([createService([await startOkBackend()])])
  const response = await call(daemon.port, { headers: { 'x-large': 'x'.repeat(17_000) } })
  t.is(response.status, 431)
  t.is(response.headers['x-result-code'], 'WV-1002')
})

test('a body that is too large is refused at once and without reading it', async t => {
  const daemon = await startDaemon([createService([await startOkBackend()], { kinds: [READ, { ...ORDER, bodyBytesMax: 1_000 }] })])
  const announced = createRawCaller(daemon.port, 'POST /shop/x HTTP/1.1\r\nhost: h\r\ncontent-length: 50000000\r\n\r\n')
  t.regex(await announced.waitFor(/\}$/), /^HTTP\/1.1 413 [^]*connection: close[^]*WV-1003/i)
  const expecting = createRawCaller(daemon.port, 'POST /shop/x HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 50000\r\n\r\n')
  t.notRegex(await expecting.waitFor(/\}$/), /100 Continue/)
  const chunked = request({ port: daemon.port, method: 'POST', path: '/shop/x', agent: false, headers: { 'transfer-encoding': 'chunked' } })
  chunked.on('error', () => undefined).write('x'.repeat(2_000))
  const [response] = await once(chunked, 'response') as [IncomingMessage]
  t.is(response.statusCode, 413)
  for (const { socket } of [announced, expecting]) socket.destroy()
  chunked.destroy()
})

test('a caller that sends its head or a small body too slowly is refused', async t => {
  let hits = 0
  const port = await startBackend((_req, res) => {
    hits++
    res.end()
  })
  const daemon = await startDaemon([createService([port], { kinds: [createKind({ ...ORDER, deadlineMs: 200 })] })])
  const head = createRawCaller(daemon.port, 'GET /shop/x HTTP/1.1\r\nx-a: ')
  const body = createRawCaller(daemon.port, 'POST /shop/x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab')
  t.regex(await body.waitFor(/\}$/), /^HTTP\/1.1 408 [^]*WV-1016/)
  t.regex(await head.waitFor(/\}$/), /^HTTP\/1.1 408 [^]*WV-1016/)
  t.is(hits, 0)
  for (const { socket } of [head, body]) socket.destroy()
})

test('an address with more connections or requests than its limit is refused', async t => {
  const callerLimits = { connectionsMax: 1, requestsPerS: 0.1, requestBurst: 2, callersMax: 10 }
  const daemon = await startDaemon([createService([await startOkBackend()])], { callerLimits })
  const caller = createRawCaller(daemon.port, 'GET /shop/x HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(3))
  t.regex(await caller.waitFor(/WV-/), /HTTP\/1.1 200 [^]*HTTP\/1.1 200 [^]*HTTP\/1.1 429 [^]*WV-1004[^]*retry-after: 10/i)
  const second = createRawCaller(daemon.port, '')
  t.regex(await second.waitFor(/WV-/), /^HTTP\/1.1 429 [^]*WV-1004/)
  caller.socket.destroy()
})

test('while all slots are in use, requests that cannot be served in time are refused at once, and kinds with a higher weight go first', async t => {
  const order: string[] = []
  const held = createDeferred<() => void>()
  const port = await startBackend((req, res) => {
    order.push(req.url ?? '')
    if (req.url === '/shop/held') held.resolve(() => res.end())
    else res.end('ok')
  })
  const kinds: ServiceConfiguration['kinds'] = [createKind({ name: 'heavy', path: '/shop/heavy', weight: 10 }), createKind({ deadlineMs: 3_000 })]
  const daemon = await startDaemon([createService([port], { slotsPerTarget: 1, connectionsPerTarget: 24, kinds })])
  const first = call(daemon.port, { path: '/shop/held' })
  const release = await held.promise
  const light = call(daemon.port, { path: '/shop/light' })
  const heavy = call(daemon.port, { path: '/shop/heavy' })
  const late = call(daemon.port, { path: '/shop/late', headers: { 'x-request-timeout-ms': '40' } })
  t.is((await late).status, 503)
  t.truthy((await late).headers['retry-after'])
  release()
  await Promise.all([first, light, heavy])
  t.deepEqual(order, ['/shop/held', '/shop/heavy', '/shop/light'])
})

test('the entry addresses are served on the callers\' address', async t => {
  const daemon = await startDaemon([createService([await startOkBackend()])])
  const response = await call(daemon.port, { path: '/.well-known/wisteriavalve/entry?zone=b' })
  t.deepEqual(JSON.parse(response.body), { addresses: [{ host: '127.0.0.1', port: 1, zone: 'b' }], lifetimeMs: 300 })
  t.is(response.headers['cache-control'], 'no-store')
})

test('all pipelined requests of a caller that disconnected are cancelled', async t => {
  const held: IncomingMessage[] = []
  const arrived = createDeferred<void>()
  const port = await startBackend(req => { if (held.push(req) === 2) arrived.resolve() })
  const daemon = await startDaemon([createService([port])])
  const caller = createRawCaller(daemon.port, 'GET /shop/x HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(2))
  await arrived.promise
  caller.socket.destroy()
  await Promise.all(held.map(waitForClose))
  t.is(daemon.events.find(({ resultCode }) => resultCode === 'WV-2007').length, 2)
})
