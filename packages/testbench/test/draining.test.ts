/**
 * Guards against new requests to a draining backend server, and against aborted
 * requests when a backend server or a daemon stops gracefully.
 */
import test from 'ava'
import { checkRun, startScenario, countFailures } from '../src/index.js'
import { logDrain } from './drain-log.js'

test.serial('a draining backend server completes a long upload and gets no new requests after 3 s', async t => {
  const scenario = await startScenario({ seed: 31, nodeCount: 2 })
  t.teardown(scenario.close)
  const upload = scenario.send('upload', 'upload-1', { changes: { uploadMs: 4500 } })
  const { serverId } = await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'upload-1')
  const load = scenario.load({ ratePerS: 60, durationMs: 5500 })
  const stopped = scenario.backend(serverId).stop(4500)
  const outcomes = await load.done
  t.like(await upload, { result: 'in-time', answer: 'own' })
  await stopped
  const verdict = checkRun(outcomes, scenario.record)
  if (verdict.lateAfterDrain > 0) logDrain(t, scenario, outcomes)
  t.deepEqual(countFailures(outcomes), {})
  t.like(verdict, { lateAfterDrain: 0, truncated: 0, repeated: 0 })
  t.true(scenario.record.events().some(event => event.type === 'upload' && event.requestId === 'upload-1' && event.intact))
})

test.serial('a drain that only the VM list reports stops new requests', async t => {
  const scenario = await startScenario({ seed: 32 })
  t.teardown(scenario.close)
  scenario.backend('shop-1').setBehaviour({ drainHeader: false, health: 'ready' })
  const load = scenario.load({ ratePerS: 60, durationMs: 5000 })
  const stopped = scenario.backend('shop-1').stop(4500)
  scenario.vmList.setState('shop-1', 'leaving')
  const outcomes = await load.done
  const verdict = checkRun(outcomes, scenario.record)
  await stopped
  t.deepEqual(countFailures(outcomes), {})
  t.is(verdict.lateAfterDrain, 0)
})

test.serial('all backend servers drain: requests are refused as not-run', async t => {
  const scenario = await startScenario({ seed: 33, targetCount: 2 })
  t.teardown(scenario.close)
  for (const backend of scenario.backends()) {
    backend.stop(10_000).catch(t.fail)
    await scenario.send('read', `sign-${backend.id}`)
  }
  for (const backend of scenario.backends()) scenario.vmList.setState(backend.id, 'leaving')
  const node = scenario.fleet.nodes[0]
  while ((await node?.status())?.targets.some(target => target.health !== 'draining')) await scenario.send('read', `sign-${performance.now()}`)
  t.like(await scenario.send('order', 'order-1'), { result: 'not-run', code: 'WV-1008' })
  t.is(scenario.record.runCount('order-1'), 0)
})

test.serial('a graceful stop of a daemon aborts no requests', async t => {
  const scenario = await startScenario({ seed: 34, nodeCount: 3 })
  t.teardown(scenario.close)
  const [node] = scenario.fleet.nodes
  const upload = scenario.send('upload', 'upload-1', { changes: { uploadMs: 3000 } })
  await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'upload-1')
  const load = scenario.load({ ratePerS: 80, durationMs: 5000 })
  await scenario.record.waitFor(event => event.type === 'answered')
  t.is(await node?.stop(), 0)
  const outcomes = await load.done
  const verdict = checkRun(outcomes, scenario.record)
  t.like(await upload, { result: 'in-time', answer: 'own' })
  t.deepEqual(countFailures(outcomes), {})
  t.is(verdict.repeated, 0)
})
