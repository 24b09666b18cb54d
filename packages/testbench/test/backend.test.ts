/**
 * Guards against a backend server test double that does not record what a
 * checker needs: repeated runs, aborted uploads, and requests that arrive after
 * the start of a drain.
 */
import http from 'node:http'
import test from 'ava'
import { checksum, CHECKSUM_HEADER, createBackend, startBackendProcess, verifyResponseBody, type BackendEventWithServer } from '../src/index.js'

const createEventCollector = () => {
  const events: BackendEventWithServer[] = []
  const waiting: { matches: (event: BackendEventWithServer) => boolean, resolve: (event: BackendEventWithServer) => void }[] = []
  return {
    events,
    add: (event: BackendEventWithServer) => {
      events.push(event)
      waiting.filter(item => item.matches(event)).forEach(item => item.resolve(event))
    },
    next: (type: BackendEventWithServer['type']) => new Promise<BackendEventWithServer>(resolve => {
      waiting.push({ matches: event => event.type === type, resolve })
    })
  }
}

test('a response body is verified as own, foreign or broken', async t => {
  const backend = await createBackend({ id: 'b', slots: 1, seed: 1, serviceTimeMs: 1 })
  t.teardown(backend.kill)
  const response = await fetch(`http://${backend.host}:${backend.port}/x?answer-bytes=5000`, { headers: { 'x-request-id': 'r1' } })
  const body = new Uint8Array(await response.arrayBuffer())
  const announced = response.headers.get(CHECKSUM_HEADER) ?? undefined
  t.is(body.length >= 5000, true)
  t.is(verifyResponseBody('r1', announced, body), 'own')
  t.is(verifyResponseBody('r2', announced, body), 'foreign')
  t.is(verifyResponseBody('r1', announced, body.subarray(0, 4000)), 'broken')
})

test('an aborted upload is recorded as incomplete', async t => {
  const record = createEventCollector()
  const backend = await createBackend({ id: 'b', slots: 1, seed: 1 }, record.add)
  t.teardown(backend.kill)
  const body = Buffer.alloc(100_000, 7)
  const request = http.request({ host: backend.host, port: backend.port, method: 'POST', headers: { 'x-request-id': 'u', 'content-length': body.length, [CHECKSUM_HEADER]: checksum(body) } })
  request.on('error', () => {})
  const uploaded = record.next('upload')
  const started = record.next('started')
  request.write(body.subarray(0, 1000))
  await started
  request.destroy()
  t.like(await uploaded, { complete: false, intact: false })
})

test('a request that arrives after the start of a drain is recorded and completed', async t => {
  const record = createEventCollector()
  const backend = await createBackend({ id: 'b', slots: 1, seed: 1 }, record.add)
  t.teardown(backend.kill)
  backend.drain().catch(t.fail)
  const response = await fetch(`http://${backend.host}:${backend.port}/x`, { headers: { 'x-request-id': 'late' } })
  t.is(response.status, 200)
  t.is(response.headers.get('x-draining'), 'true')
  t.like(record.events.find(event => event.type === 'arrived-after-drain'), { requestId: 'late' })
})

test('with a full queue, requests are refused with x-request-not-run', async t => {
  const backend = await createBackend({ id: 'b', slots: 1, seed: 1, queueMax: 0 })
  t.teardown(backend.kill)
  const address = `http://${backend.host}:${backend.port}/x?service-ms=200`
  const answers = await Promise.all([fetch(address), fetch(address)])
  t.deepEqual(answers.map(answer => answer.status).sort(), [200, 503])
  t.is(answers.find(answer => answer.status === 503)?.headers.get('x-request-not-run'), 'true')
})

test('events that a process recorded before it was killed are kept', async t => {
  const record = createEventCollector()
  const backend = await startBackendProcess({ id: 'b', slots: 1, seed: 1 }, record.add)
  const started = record.next('started')
  const answer = fetch(`http://${backend.host}:${backend.port}/x?service-ms=60000`, { headers: { 'x-request-id': 'r' } })
  t.like(await started, { requestId: 'r', serverId: 'b' })
  await Promise.all([t.throwsAsync(answer), backend.kill()])
})
