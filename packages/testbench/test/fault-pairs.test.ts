/**
 * Two faults at the same time. Guards against recovery that works only while
 * nothing else fails.
 */
import test from 'ava'
import { checkRun, intendedStartMs, startScenario, countFailures, waitUntilInForce } from '../src/index.js'
import { logDrain } from './drain-log.js'

const NO_VIOLATIONS = { repeated: 0, wronglyNotRun: 0, foreign: 0, truncated: 0, lateAfterDrain: 0 }

test.serial('a daemon dies while a backend server drains', async t => {
  const scenario = await startScenario({ seed: 71, nodeCount: 3 })
  t.teardown(scenario.close)
  const load = scenario.load({ ratePerS: 80, durationMs: 5500 })
  await scenario.record.waitFor(event => event.type === 'answered' && event.requestId === 'r-71-60')
  const stopped = scenario.backend('shop-1').stop(4000)
  await scenario.fleet.nodes[0]?.kill()
  const killedMs = performance.timeOrigin + performance.now()
  const outcomes = await load.done
  await stopped
  const verdict = checkRun(outcomes, scenario.record)
  if (verdict.lateAfterDrain > 0) logDrain(t, scenario, outcomes)
  t.like(verdict, NO_VIOLATIONS)
  t.deepEqual(countFailures(outcomes.filter(outcome => intendedStartMs(outcome) > killedMs + 100)), {})
})

test.serial('a backend server is killed while the configuration service and the VM list are down', async t => {
  const scenario = await startScenario({ seed: 72, nodeCount: 2, targetCount: 4, isSeparateProcess: () => true })
  t.teardown(scenario.close)
  scenario.configurationService.setOutage('hang')
  scenario.vmList.setOutage('refuse')
  const load = scenario.load({ ratePerS: 80, durationMs: 4000 })
  await scenario.record.waitFor(event => event.type === 'answered' && event.requestId === 'r-72-60')
  await scenario.backend('shop-2').kill()
  const outcomes = await load.done
  t.like(checkRun(outcomes, scenario.record), { ...NO_VIOLATIONS, lostIdempotent: 0 })
})

test.serial('connections go silent while one backend server fails fast', async t => {
  const scenario = await startScenario({ seed: 73, targetCount: 4, isBehindProxy: () => true, readDeadlineMs: 3000 })
  t.teardown(scenario.close)
  await scenario.load({ ratePerS: 80, durationMs: 3000, seed: 1 }).done
  scenario.backend('shop-1').setBehaviour({ failFast: true })
  const load = scenario.load({ ratePerS: 60, durationMs: 3000, seed: 2 })
  await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'r-2-60')
  for (const backend of scenario.backends()) backend.proxy?.silence()
  const outcomes = await load.done
  t.log(JSON.stringify(countFailures(outcomes)))
  t.like(checkRun(outcomes, scenario.record), { ...NO_VIOLATIONS, lostIdempotent: 0 })
})

test.serial('a daemon is paused while a backend server is killed', async t => {
  const scenario = await startScenario({ seed: 74, nodeCount: 3, isSeparateProcess: () => true })
  t.teardown(scenario.close)
  const load = scenario.load({ ratePerS: 60, durationMs: 6000 })
  await scenario.record.waitFor(event => event.type === 'answered' && event.requestId === 'r-74-60')
  scenario.fleet.nodes[0]?.pause()
  await scenario.backend('shop-1').kill()
  await new Promise(resolve => { setTimeout(resolve, 2500) })
  scenario.fleet.nodes[0]?.resume()
  const resumedMs = performance.timeOrigin + performance.now()
  const outcomes = await load.done
  t.like(checkRun(outcomes, scenario.record), NO_VIOLATIONS)
  t.deepEqual(countFailures(outcomes.filter(outcome => intendedStartMs(outcome) > resumedMs + 1000)), {})
})

test.serial('a node is replaced while the configuration service is down and the VM list is delayed', async t => {
  const scenario = await startScenario({ seed: 75, nodeCount: 3 })
  t.teardown(scenario.close)
  scenario.configurationService.setOutage('refuse')
  const replaced = scenario.fleet.nodes[0]
  await replaced?.kill()
  scenario.vmList.setVisibilityDelayMs(1000)
  const added = await scenario.fleet.add()
  await added.waitReady()
  t.is((await scenario.send('order', 'order-1', { node: added })).result, 'in-time')
  scenario.configurationService.setOutage('none')
  const next = scenario.createVariant(1500)
  scenario.configurationService.publish(next)
  await waitUntilInForce(scenario.fleet.nodes.filter(node => node !== replaced), next)
  t.pass()
})
