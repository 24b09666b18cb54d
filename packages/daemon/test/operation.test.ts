/**
 * Guards against a stop that aborts requests, an error in one request that ends
 * the process, and a node that does not report its decisions.
 */
import { once } from 'node:events'
import { request, type IncomingMessage } from 'node:http'
import test from 'ava'
import { createTRPCClient, httpLink } from '@trpc/client'
import type { AdminRouter } from '../src/admin-api.js'
import { createBurnBuckets } from '../src/burn-buckets.js'
import { BURN_CAUSES_MAX, BURN_MINUTES } from '../src/constants.js'
import { call, reserveClosedPort, createDeferred, ORDER, READ, createService, startBackend, startDaemon, startDaemonProcess, UPLOAD } from './support.js'
import './exit.js'

test('a stop finishes an upload, serves callers that still know the address, and exits 0', async t => {
  const started = createDeferred<void>()
  const port = await startBackend((req, res) => {
    if (req.method === 'PUT') started.resolve()
    req.resume().on('end', () => res.end('done'))
  })
  const daemon = await startDaemonProcess(t, [createService([port])], { TEST_ENTRY_LIFETIME_MS: '1000' })
  const upload = request({ port: daemon.port, method: 'PUT', path: '/shop/x', agent: false, headers: { 'transfer-encoding': 'chunked' } })
  upload.write('part')
  await started.promise
  const exited = once(daemon.child, 'close')
  const leaving = daemon.nextLine('event=daemon_leaving')
  daemon.child.kill('SIGTERM')
  await leaving
  const late = await call(daemon.port)
  t.is(late.body, 'done')
  t.is(late.headers.connection, 'close')
  for (let count = 0; count < 16; count++) {
    upload.write('part')
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  upload.end()
  const [res] = await once(upload, 'response') as [IncomingMessage]
  t.is(Buffer.concat(await res.toArray()).toString(), 'done')
  t.deepEqual(await exited, [0, null])
})

test('an unexpected error ends one request and not the process', async t => {
  const daemon = await startDaemon([createService([await startBackend((_req, res) => res.end('ok'))])])
  daemon.events.add = () => { throw new Error('planned fault') }
  const response = await call(daemon.port)
  t.is(response.headers['x-result-code'], 'WV-1017')
  t.regex(daemon.lines.join('\n'), /event=request_fault.*planned fault/)
  t.is((await call(daemon.port, { path: '/.well-known/wisteriavalve/ready' })).status, 200)
})

test('an unexpected error outside of requests is logged and ends the process', async t => {
  const daemon = await startDaemonProcess(t, [createService([1])], { TEST_FAULT: 'planned fault' })
  const failed = daemon.nextLine('event=daemon_failed')
  const exited = once(daemon.child, 'close')
  daemon.child.kill('SIGUSR2')
  t.regex(await failed, /level=error.*planned fault/)
  t.deepEqual(await exited, [70, null])
})

test('status, explain and metrics report the results of requests', async t => {
  const good = await startBackend((_req, res) => res.setHeader('endpoint-load-metrics', 'TEXT named_metrics.in_flight=3,named_metrics.slots=4').end('ok'))
  const daemon = await startDaemon([createService([good]), createService([await reserveClosedPort()], { name: 'dead', pathPrefix: '/dead', kinds: [READ, ORDER, UPLOAD] })])
  const response = await call(daemon.port, { headers: { 'x-request-id': 'good-1' } })
  t.is(response.headers['endpoint-load-metrics'], undefined)
  await call(daemon.port, { method: 'POST', path: '/dead/x', headers: { 'x-request-id': 'dead-1' }, body: 'x' })
  const client = createTRPCClient<AdminRouter>({ links: [httpLink({ url: `http://127.0.0.1:${daemon.adminPort}` })] })
  const status = await client.status.query()
  t.is(status.phase, 'serving')
  t.like(status.targets.find(({ service: name }) => name === 'shop'), { targetId: 't1', health: 'ready', reportedInFlight: 3, connections: 1 })
  const routed = await client.explain.query({ requestId: 'good-1' })
  t.regex(routed[0]?.text ?? '', /^GET \/shop\/x of shop was sent to t1: .+\.$/)
  const failed = await client.explain.query({ requestId: 'dead-1' })
  t.like(failed.at(-1), { resultCode: 'WV-1009', service: 'dead', event: 'request_failed' })
  t.regex(failed.at(-1)?.text ?? '', /^POST \/dead\/x of dead was not run: no connection/)
  const metrics = await (await fetch(`http://127.0.0.1:${daemon.adminPort}/metrics`)).text()
  t.regex(metrics, /wisteriavalve_requests_total\{service="shop",kind="read",result="answered"\} 1/)
  t.regex(metrics, /wisteriavalve_request_duration_ms_bucket\{le="10000",service="shop",kind="read",outcome="answered"\} 1/)
  t.regex(metrics, /wisteriavalve_request_duration_ms_count\{service="dead",kind="unknown",outcome="not-run"\} 1/)
  t.regex(metrics, /wisteriavalve_dispatch_delay_ms_count\{service="shop",kind="read"\} 1/)
  t.regex(metrics, /wisteriavalve_targets\{service="shop",state="ready"\} 1/)
  t.regex(daemon.lines.join('\n'), /^level=info time=\S+ event=request_failed request_id=dead-1 .*result_code=WV-1009/m)
})

test('burn buckets cover one hour and a bounded number of causes', t => {
  const buckets = createBurnBuckets()
  for (let minute = 0; minute < 2 * BURN_MINUTES; minute++) buckets.count('shop', READ, minute % 2 === 0 ? undefined : 'WV-1005', 't1', minute * 60_000)
  const listed = buckets.list(2 * BURN_MINUTES * 60_000)
  t.is(listed.length, BURN_MINUTES)
  t.is(listed.reduce((sum, { inTime }) => sum + inTime, 0), BURN_MINUTES / 2)
  for (let target = 0; target < 2 * BURN_CAUSES_MAX; target++) buckets.count('shop', READ, 'WV-2001', `t${target}`, 2 * BURN_MINUTES * 60_000)
  const last = buckets.list(2 * BURN_MINUTES * 60_000).at(-1)
  t.is(last?.failures.length, BURN_CAUSES_MAX + 1)
  t.is(last?.failures.reduce((sum, { count }) => sum + count, 0), last?.requests)
})
