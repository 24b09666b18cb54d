/**
 * Guards against requests that reach a target of an evacuated zone although it
 * was chosen before, requests in flight that an evacuation breaks off, and
 * requests without a target that are not refused at once.
 */
import test from 'ava'
import { missingTargetRetryAfterMs } from '../src/missing-targets.js'
import { call, createDeferred, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const inZones = (ports: readonly number[], zones: readonly string[]) => {
  const service = createService(ports)
  return { ...service, targets: service.targets.map((target, index) => ({ ...target, zone: zones[index] as string })) }
}

test('a request in flight at the begin of an evacuation ends normally, later ones go elsewhere, and the zone is used again afterwards', async t => {
  const arrived = createDeferred<void>()
  const mayEnd = createDeferred<void>()
  let count = 0
  const evacuated = await startBackend((_req, res) => {
    count++
    arrived.resolve()
    mayEnd.promise.then(() => res.end('evacuated')).catch(t.fail)
  })
  const remaining = await startBackend((_req, res) => { res.end('remaining') })
  const { port, fleet } = await startDaemon([inZones([evacuated, remaining], ['a', 'b'])])
  fleet.setEvacuatedZones(['b'])
  const inFlight = call(port, { method: 'POST' })
  await arrived.promise
  fleet.setEvacuatedZones(['a'])
  for (let sent = 0; sent < 10; sent++) t.is((await call(port)).body, 'remaining')
  mayEnd.resolve()
  t.is((await inFlight).body, 'evacuated')
  t.is(count, 1)
  fleet.setEvacuatedZones([])
  const bodies = await Promise.all(Array.from({ length: 10 }, () => call(port).then(({ body }) => body)))
  t.true(bodies.includes('evacuated'))
})

test('a request of a service with targets only in evacuated zones is refused at once, as not run and with Retry-After', async t => {
  let count = 0
  const target = await startBackend((_req, res) => {
    count++
    res.end()
  })
  const { port, fleet } = await startDaemon([inZones([target], ['a'])])
  fleet.setEvacuatedZones(['a'])
  // The first request of a process takes longer because its code is not compiled yet.
  await call(port)
  const startedMs = performance.now()
  const { status, headers } = await call(port)
  t.true(performance.now() - startedMs < 200)
  t.is(status, 503)
  t.is(headers['x-result-code'], 'WV-1008')
  t.is(headers['x-result-class'], 'not-run')
  t.truthy(headers['retry-after'])
  t.is(count, 0)
})

test('a request whose target was chosen before the evacuation and that is not written yet goes to another zone', async t => {
  let evacuatedCount = 0
  const evacuated = await startBackend((_req, res) => {
    evacuatedCount++
    res.end('evacuated')
  })
  const remaining = await startBackend((_req, res) => { res.end('remaining') })
  const { port, fleet, events } = await startDaemon([inZones([evacuated, remaining], ['a', 'b'])])
  fleet.setEvacuatedZones(['b'])
  const { add } = events
  events.add = entry => {
    add(entry)
    // The target is chosen, and the request is not written yet.
    if (entry.event === 'request_routed' && entry.targetId === 't1') fleet.setEvacuatedZones(['a'])
  }
  t.is((await call(port, { method: 'POST', body: 'x' })).body, 'remaining')
  t.is(evacuatedCount, 0)
  t.is(events.find(({ event }) => event === 'request_routed').length, 2)
})

test('the Retry-After of a request without a target spreads the callers within a third of their remaining time', t => {
  t.is(missingTargetRetryAfterMs(Infinity, 0), 100)
  t.is(missingTargetRetryAfterMs(Infinity, 1), 1_000)
  t.is(missingTargetRetryAfterMs(900, 1), 300)
  t.is(missingTargetRetryAfterMs(30, 1), 100)
})
