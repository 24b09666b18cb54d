/**
 * Guards against a daemon that does not forward requests, reports failures
 * without their class and code, starts with invalid settings, or does not stop.
 */
import { once } from 'node:events'
import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { parseSettings } from '../src/settings.js'
import { call, reserveClosedPort, createService, SETTINGS_ENV, startBackend, startDaemon, startDaemonProcess } from './support.js'
import './exit.js'

test('a request is forwarded to a backend server and its response is returned', async t => {
  const port = await startBackend((req, res) => res.setHeader('x-seen', `${req.method} ${req.url} ${String(req.headers['x-call-depth'])}`).end('hello'))
  const daemon = await startDaemon([createService([port])])
  const response = await call(daemon.port, { path: '/shop/a?b=1', headers: { 'x-request-id': 'abc' } })
  t.is(response.status, 200)
  t.is(response.body, 'hello')
  t.is(response.headers['x-seen'], 'GET /shop/a?b=1 1')
  t.is(response.headers['x-request-id'], 'abc')
  t.is(response.headers['x-result-code'], undefined)
})

test('failures carry class, code and Retry-After', async t => {
  const daemon = await startDaemon([createService([await reserveClosedPort()])])
  const refused = await call(daemon.port)
  t.is(refused.status, 503)
  t.is(refused.headers['retry-after'], '1')
  t.is(refused.headers['x-result-code'], 'WV-1009')
  t.is(refused.headers['x-result-class'], 'not-run')
  t.like(JSON.parse(refused.body), { resultCode: 'WV-1009', resultClass: 'not-run' })
  const unknown = await call(daemon.port, { path: '/other' })
  t.is(unknown.headers['x-result-code'], 'WV-1001')
  const empty = await startDaemon([createService([])])
  const noTarget = await call(empty.port)
  t.is(noTarget.headers['x-result-code'], 'WV-1008')
  t.is(noTarget.headers['retry-after'], '1')
  const unconfigured = await startDaemon([])
  t.is((await call(unconfigured.port)).headers['x-result-code'], 'WV-1011')
  t.is((await call(unconfigured.port, { path: '/.well-known/wisteriavalve/ready' })).status, 503)
})

test('an invalid setting aborts the start with a code and a message that names the setting', async t => {
  const parsed = parseSettings(['--zone', 'a b'], SETTINGS_ENV)
  t.false(parsed.ok)
  if (!parsed.ok) t.regex(parsed.error.message, /--zone.*"a b".*must be a name/)
  const secret = parseSettings([], { ...SETTINGS_ENV, WISTERIAVALVE_FLEET_KEY: 'short' })
  if (!secret.ok) t.notRegex(secret.error.message, /short/)
  t.false(secret.ok)
  t.is(parseSettings([], { ...SETTINGS_ENV, WISTERIAVALVE_ZONE: undefined }).ok, false)
  t.is(parseSettings(['--unknown'], SETTINGS_ENV).ok, false)
  const child = spawn(process.execPath, [fileURLToPath(new URL('daemon-process.js', import.meta.url))], { env: { ...SETTINGS_ENV, WISTERIAVALVE_SEED: 'x' } })
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  const [code] = await once(child, 'close') as [number]
  t.is(code, 2)
  t.regex(output, /event=start_failed.*result_code=WV-3001.*--seed/)
})

test('an address in use aborts the start with an exit code of its own', async t => {
  const port = await startBackend((_req, res) => res.end())
  const child = spawn(process.execPath, [fileURLToPath(new URL('daemon-process.js', import.meta.url))], { env: { ...SETTINGS_ENV, WISTERIAVALVE_CALLER_LISTEN: `127.0.0.1:${port}` } })
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  const [code] = await once(child, 'close') as [number]
  t.is(code, 3)
  t.regex(output, /result_code=WV-3003.*--caller-listen/)
})

test('SIGTERM ends an idle process with exit code 0', async t => {
  const port = await startBackend((_req, res) => res.end('ok'))
  const daemon = await startDaemonProcess(t, [createService([port])])
  t.is((await call(daemon.port)).status, 200)
  const childClosed = once(daemon.child, 'close')
  daemon.child.kill('SIGTERM')
  const [code] = await childClosed as [number]
  t.is(code, 0)
  t.true(daemon.lines.some(line => line.includes('event=daemon_leaving')))
})
