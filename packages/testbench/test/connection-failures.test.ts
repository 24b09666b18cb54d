/**
 * Guards against truncated responses and uploads that are forwarded as complete,
 * and against requests that are lost on connections that went silent.
 */
import http from 'node:http'
import test from 'ava'
import { checkRun, startScenario, countFailures } from '../src/index.js'

test.serial('silent connections: reads are retried on new connections, orders are not sent on idle ones', async t => {
  const scenario = await startScenario({ seed: 21, isBehindProxy: () => true })
  t.teardown(scenario.close)
  await scenario.load({ ratePerS: 100, durationMs: 2000, seed: 1 }).done
  for (const backend of scenario.backends()) backend.proxy?.silence()
  t.like(await scenario.send('read', 'read-1'), { result: 'in-time', answer: 'own' })
  // An order may be sent on a connection that received a response within the last 1,000 ms.
  await new Promise(resolve => { setTimeout(resolve, 1100) })
  const outcomes = await scenario.load({ ratePerS: 50, durationMs: 2000, seed: 2 }).done
  const verdict = checkRun(outcomes, scenario.record)
  t.deepEqual(countFailures(outcomes), {})
  t.is(verdict.repeated, 0)
})

test.serial('connections go silent under load: no request runs twice and reads are answered', async t => {
  const scenario = await startScenario({ seed: 22, isBehindProxy: () => true, nodeCount: 2, readDeadlineMs: 3000 })
  t.teardown(scenario.close)
  await scenario.load({ ratePerS: 60, durationMs: 2000, seed: 1 }).done
  const load = scenario.load({ ratePerS: 60, durationMs: 3000, seed: 2 })
  await scenario.record.waitFor(event => event.type === 'started' && event.requestId.startsWith('r-2-30'))
  for (const backend of scenario.backends()) backend.proxy?.silence()
  const outcomes = await load.done
  t.deepEqual(countFailures(outcomes.filter(outcome => outcome.idempotent)), {})
  t.like(checkRun(outcomes, scenario.record), { repeated: 0, wronglyNotRun: 0, foreign: 0, truncated: 0 })
})

test.serial('a truncated response is never delivered as complete', async t => {
  const scenario = await startScenario({ seed: 23 })
  t.teardown(scenario.close)
  for (const backend of scenario.backends()) backend.setBehaviour({ breakAnswerAfterBytes: 1000 })
  for (const kind of ['read', 'order'] as const) {
    const outcome = await scenario.send(kind, `${kind}-1`, { query: 'answer-bytes=400000' })
    t.is(outcome.result, 'outcome-unknown', kind)
    t.is(outcome.answer, undefined)
  }
  t.is(scenario.record.runCount('order-1'), 1)
})

test.serial('an upload aborted by its caller is never received as complete', async t => {
  const scenario = await startScenario({ seed: 24 })
  t.teardown(scenario.close)
  const node = scenario.fleet.nodes[0]
  const request = http.request({
    host: node?.host, port: node?.callerPort, method: 'PUT', path: '/shop/media/1', headers: { 'x-request-id': 'upload-1', 'content-length': 1_000_000 }
  })
  request.on('error', () => {})
  request.write(Buffer.alloc(200_000))
  await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'upload-1')
  request.destroy()
  t.like(await scenario.record.waitFor(event => event.type === 'upload'), { requestId: 'upload-1', complete: false })
})

test.serial('a chunked upload aborted by its caller is never received as complete', async t => {
  const scenario = await startScenario({ seed: 25 })
  t.teardown(scenario.close)
  const node = scenario.fleet.nodes[0]
  const request = http.request({
    host: node?.host, port: node?.callerPort, method: 'PUT', path: '/shop/media/1', headers: { 'x-request-id': 'upload-1', 'transfer-encoding': 'chunked' }
  })
  request.on('error', () => {})
  request.write(Buffer.alloc(200_000))
  await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'upload-1')
  request.destroy()
  t.like(await scenario.record.waitFor(event => event.type === 'upload'), { requestId: 'upload-1', complete: false })
})

test.serial('the connection to a backend server is reset during the response: the order ends as outcome-unknown and has run once', async t => {
  const scenario = await startScenario({ seed: 26, isBehindProxy: () => true, targetCount: 1 })
  t.teardown(scenario.close)
  scenario.backend('shop-1').proxy?.resetAfter('to-caller', 20)
  const outcome = await scenario.send('order', 'order-1')
  t.is(outcome.result, 'outcome-unknown')
  t.is(scenario.record.runCount('order-1'), 1)
})
