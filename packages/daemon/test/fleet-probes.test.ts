/**
 * Guards against probes that report a state without evidence, probes that never
 * end, and probes of targets that are leaving or serve traffic anyway.
 */
import test from 'ava'
import { createServer, type RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { sampleConfiguration } from '@wisteriavalve/fleet/testing'
import type { VmEntry } from '@wisteriavalve/schema'
import { createProbeRunner } from '../src/index.js'
import { createNodeSettings, startTestNode, waitUntil } from './fleet-nodes.js'
import { openPlatformDouble } from './platform-double.js'

const listen = (handle: RequestListener): Promise<{ port: number, close: () => void }> => new Promise(resolve => {
  const server = createServer(handle).listen(0, '127.0.0.1', () => resolve({
    port: (server.address() as AddressInfo).port,
    close: () => { server.close(); server.closeAllConnections() }
  }))
})

test('a probe reports the response of the health path, and ends within its time limit', async t => {
  const listenersByPath: Record<string, RequestListener> = {
    '/ready': (_request, response) => response.end('{"state":"draining","inFlight":2,"slots":4}'),
    '/garbage': (_request, response) => response.end('not json'),
    '/state': (_request, response) => response.end('{"state":"fine"}'),
    '/large': (_request, response) => response.end('x'.repeat(100_000)),
    '/error': (_request, response) => response.writeHead(500).end('{"state":"ready"}'),
    '/reset': request => request.socket.resetAndDestroy(),
    '/silent': () => {}
  }
  const server = await listen((request, response) => listenersByPath[request.url ?? '']?.(request, response))
  const runner = createProbeRunner(() => performance.now())
  t.teardown(async () => { await runner.close(); server.close() })
  const target = { id: 'a', host: '127.0.0.1', port: server.port, zone: 'z' }
  t.like(await runner.probe(target, '/ready'), { ok: true, state: 'draining', load: { inFlight: 2, slots: 4 } })
  for (const path of ['/garbage', '/state', '/error']) t.deepEqual(await runner.probe(target, path), { ok: false, failure: 'error-status' })
  t.deepEqual(await runner.probe(target, '/reset'), { ok: false, failure: 'reset' })
  t.false((await runner.probe(target, '/large')).ok)
  t.deepEqual(await runner.probe(target, '/silent'), { ok: false, failure: 'timeout' })
  server.close()
  t.deepEqual(await runner.probe(target, '/ready'), { ok: false, failure: 'connect-failed' })
})

test('a node probes only idle targets, not leaving ones or those that answered a request recently', async t => {
  const probed: string[] = []
  const servers = await Promise.all(['idle', 'leaving', 'busy'].map(name => listen((_request, response) => {
    probed.push(name)
    response.end('{"state":"ready"}')
  })))
  const platform = await openPlatformDouble()
  platform.publish(sampleConfiguration({ probesPerTargetPerS: 24, entryVmCountMax: 12 }))
  platform.setVms(['idle', 'leaving', 'busy'].map((vmId, index): VmEntry => ({
    vmId, role: 'backend', service: 'stockview', zone: 'z', host: '127.0.0.1', port: servers[index]?.port ?? 1, state: vmId === 'leaving' ? 'leaving' : 'live'
  })))
  const node = await startTestNode(createNodeSettings(0, platform.url))
  const results: string[] = []
  node.runtime.setLastResponseSource((_service, targetId) => targetId === 'busy' ? performance.now() : undefined)
  node.runtime.onProbe((service, targetId, result) => { results.push(`${service}/${targetId}/${result.ok}`) })
  t.teardown(async () => { await node.runtime.stop(); await platform.close(); for (const server of servers) server.close() })
  await waitUntil('probes', () => results.length >= 4)
  t.deepEqual([...new Set(results)], ['stockview/idle/true'])
  t.deepEqual([...new Set(probed)], ['idle'])
})
