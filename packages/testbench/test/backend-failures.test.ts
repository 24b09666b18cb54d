/**
 * Guards against requests that run twice, are lost or are reported with a wrong
 * result when backend servers crash, slow down, fail or refuse requests.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import test from 'ava'
import { checkRun, intendedStartMs, startScenario, countFailures, waitUntil } from '../src/index.js'

test.serial('backend server killed: an order in flight ends as outcome-unknown and has run once', async t => {
  const scenario = await startScenario({ seed: 11, isSeparateProcess: () => true })
  t.teardown(scenario.close)
  const order = scenario.send('order', 'order-1', { query: 'service-ms=20000' })
  const { serverId } = await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'order-1')
  await scenario.backend(serverId).kill()
  t.like(await order, { result: 'outcome-unknown', code: 'WV-2002' })
  t.is(scenario.record.runCount('order-1'), 1)
})

test.serial('backend server killed: a read in flight is answered by another server', async t => {
  const scenario = await startScenario({ seed: 12, isSeparateProcess: () => true, readDeadlineMs: 10_000 })
  t.teardown(scenario.close)
  const read = scenario.send('read', 'read-1', { query: 'service-ms=1500' })
  const { serverId } = await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'read-1')
  await scenario.backend(serverId).kill()
  t.like(await read, { result: 'in-time', answer: 'own' })
})

test.serial('straggler: its share of the requests falls and reads stay in time', async t => {
  const scenario = await startScenario({ seed: 13, targetCount: 4, nodeCount: 2, readDeadlineMs: 300, backend: { serviceTimeMs: 10 } })
  t.teardown(scenario.close)
  await scenario.load({ ratePerS: 80, durationMs: 2000, seed: 1 }).done
  scenario.backend('shop-1').setBehaviour({ slowdown: 100 })
  await scenario.load({ ratePerS: 80, durationMs: 2000, seed: 2 }).done
  const before = scenario.record.events().length
  const outcomes = await scenario.load({ ratePerS: 80, durationMs: 3000, seed: 3 }).done
  const reads = outcomes.filter(outcome => outcome.idempotent)
  const started = scenario.record.events().slice(before).filter(event => event.type === 'started')
  t.true(started.filter(event => event.serverId === 'shop-1').length < started.length / 10)
  t.true(reads.filter(outcome => outcome.result === 'in-time').length >= reads.length * 0.97)
})

test.serial('backend server fails fast: it does not attract requests and no read is lost', async t => {
  const scenario = await startScenario({ seed: 14, targetCount: 4, nodeCount: 2 })
  t.teardown(scenario.close)
  await scenario.load({ ratePerS: 80, durationMs: 3000, seed: 1 }).done
  scenario.backend('shop-1').setBehaviour({ failFast: true })
  const outcomes = await scenario.load({ ratePerS: 80, durationMs: 4000, seed: 2 }).done
  const verdict = checkRun(outcomes, scenario.record)
  t.like(verdict, { repeated: 0, lostIdempotent: 0, wronglyNotRun: 0 })
  const endMs = Math.max(...outcomes.map(intendedStartMs))
  const last = scenario.record.events().filter(event => event.type === 'started' && event.timeMs > endMs - 2000)
  t.true(last.filter(event => event.serverId === 'shop-1').length < last.length / 10)
})

test.serial('one backend server sheds load: every request runs once on another server', async t => {
  const scenario = await startScenario({ seed: 15, targetCount: 4 })
  t.teardown(scenario.close)
  await scenario.load({ ratePerS: 80, durationMs: 2000, seed: 1 }).done
  scenario.backend('shop-1').setBehaviour({ shed: true })
  const outcomes = await scenario.load({ ratePerS: 80, durationMs: 3000, seed: 2 }).done
  const verdict = checkRun(outcomes, scenario.record)
  t.deepEqual(countFailures(outcomes), {})
  t.is(verdict.repeated, 0)
})

test.serial('all backend servers shed load: an order is refused as not-run and has not run', async t => {
  const scenario = await startScenario({ seed: 16 })
  t.teardown(scenario.close)
  for (const backend of scenario.backends()) backend.setBehaviour({ shed: true })
  t.like(await scenario.send('order', 'order-1'), { result: 'not-run', status: 503, code: 'WV-1010' })
  t.is(scenario.record.runCount('order-1'), 0)
})

test.serial('overload: the surplus is refused at once as not-run and goodput holds', async t => {
  const scenario = await startScenario({ seed: 17, targetCount: 2, slots: 2, backend: { serviceTimeMs: 50, queueMax: 2 }, readDeadlineMs: 500 })
  t.teardown(scenario.close)
  const capacityPerS = 2 * 2 * 1000 / 52
  const loopDelay = monitorEventLoopDelay({ resolution: 5 })
  loopDelay.enable()
  const outcomes = await scenario.load({ ratePerS: capacityPerS * 2, durationMs: 5000, kinds: [scenario.kinds.read] }).done
  const verdict = checkRun(outcomes, scenario.record)
  // Backend servers and load generator run in this process. When it gets too little processor time, the targets do not reach their capacity either.
  t.log(JSON.stringify({ capacityPerS, loopDelayP99Ms: Math.round(loopDelay.percentile(99) / 1e6), ...verdict }))
  t.true(verdict.notRun > verdict.requests * 0.2)
  t.true(verdict.inTime > capacityPerS * 5 * 0.8)
  t.is(verdict.repeated, 0)
  await waitUntil('read in time after the queue has drained', 5000, async () => (await scenario.send('read', `after-${performance.now()}`)).result === 'in-time')
})
