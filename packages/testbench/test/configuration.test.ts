/**
 * Guards against configurations that differ between nodes for longer than
 * 8 s, that go back to an older one, or that a fleet loses with the
 * configuration service.
 */
import test from 'ava'
import { computeHeadHash, readHeadHashInForce, startScenario, countFailures, waitUntilInForce, waitUntil, type Scenario } from '../src/index.js'

const heads = (scenario: Scenario): Promise<(string | undefined)[]> => Promise.all(scenario.fleet.nodes.map(readHeadHashInForce))

const allHave = (scenario: Scenario, entries: ReturnType<Scenario['createVariant']>): string[] => scenario.fleet.nodes.map(() => computeHeadHash(entries))

test.serial('configuration service down: service goes on, and a later change is in force within 8 s', async t => {
  const scenario = await startScenario({ seed: 51, nodeCount: 3 })
  t.teardown(scenario.close)
  scenario.configurationService.setOutage('refuse')
  const outcomes = await scenario.load({ ratePerS: 40, durationMs: 2000 }).done
  t.deepEqual(countFailures(outcomes), {})
  await scenario.fleet.nodes[0]?.process.waitForLog(line => line.includes('configuration_service_unreachable')).catch(() =>
    scenario.fleet.nodes[1]?.process.waitForLog(line => line.includes('configuration_service_unreachable'), 1000))
  scenario.configurationService.setOutage('none')
  const next = scenario.createVariant(1500)
  scenario.configurationService.publish(next)
  await waitUntilInForce(scenario.fleet.nodes, next)
  t.deepEqual(await heads(scenario), allHave(scenario, next))
})

test.serial('a stale replica does not take back what is in force', async t => {
  const scenario = await startScenario({ seed: 52, nodeCount: 3 })
  t.teardown(scenario.close)
  const next = scenario.createVariant(1500)
  scenario.configurationService.publish(next)
  await waitUntilInForce(scenario.fleet.nodes, next)
  const old = scenario.configurationService.takeSnapshot()
  const newest = scenario.createVariant(1400)
  scenario.configurationService.publish(newest)
  await waitUntilInForce(scenario.fleet.nodes, newest)
  scenario.configurationService.restore(old)
  const added = await scenario.fleet.add()
  await added.waitReady()
  await waitUntilInForce(scenario.fleet.nodes, newest)
  t.deepEqual(await heads(scenario), allHave(scenario, newest))
})

test.serial('after a restore from an old copy, a raised restore count takes effect and nothing before it does', async t => {
  const scenario = await startScenario({ seed: 53, nodeCount: 3 })
  t.teardown(scenario.close)
  const copy = scenario.configurationService.takeSnapshot()
  // The restored service gives its next head a revision below the one in force.
  scenario.configurationService.publish(scenario.createVariant(1600))
  const inForce = scenario.createVariant(1500)
  scenario.configurationService.publish(inForce)
  await waitUntilInForce(scenario.fleet.nodes, inForce)
  scenario.configurationService.restore(copy)
  scenario.configurationService.publish(scenario.createVariant(1300))
  await waitUntil('a node reports that the service is behind', 20_000, async () =>
    (await Promise.all(scenario.fleet.nodes.map(node => node.status()))).some(status => status.configurationState === 'service-behind'))
  t.deepEqual(await heads(scenario), allHave(scenario, inForce))
  const raised = scenario.createVariant(1300, 1)
  scenario.configurationService.publish(raised)
  await waitUntilInForce(scenario.fleet.nodes, raised)
  t.deepEqual(await heads(scenario), allHave(scenario, raised))
})

test.serial('two operators who publish at once end in one configuration on all nodes within 8 s', async t => {
  const scenario = await startScenario({ seed: 54, nodeCount: 4 })
  t.teardown(scenario.close)
  const one = scenario.createVariant(1500)
  const other = scenario.createVariant(1200)
  const isHead = (entry: { key: string }): boolean => entry.key.endsWith('/head')
  scenario.configurationService.publish(one.filter(entry => !isHead(entry)))
  scenario.configurationService.publish(other.filter(entry => !isHead(entry)))
  scenario.configurationService.publish(one.filter(isHead))
  scenario.configurationService.publish(other.filter(isHead))
  await waitUntilInForce(scenario.fleet.nodes, other)
  t.deepEqual(await heads(scenario), allHave(scenario, other))
})

test.serial('a head whose values are missing or damaged is not adopted', async t => {
  const scenario = await startScenario({ seed: 55, nodeCount: 2 })
  t.teardown(scenario.close)
  const before = await heads(scenario)
  const broken = scenario.createVariant(1500).map(entry => entry.key.endsWith('/head') ? entry : { ...entry, bytes: Buffer.from('{}') })
  scenario.configurationService.publish(broken)
  await waitUntil('a node reports the rejection', 20_000, async () =>
    (await Promise.all(scenario.fleet.nodes.map(node => node.status()))).some(status => status.configurationState === 'rejected'))
  t.deepEqual(await heads(scenario), before)
  const next = scenario.createVariant(1400)
  scenario.configurationService.publish(next)
  await waitUntilInForce(scenario.fleet.nodes, next)
  t.deepEqual(await heads(scenario), allHave(scenario, next))
})

test.serial('a new daemon gets the configuration from peers while the configuration service is down', async t => {
  const scenario = await startScenario({ seed: 56, nodeCount: 2 })
  t.teardown(scenario.close)
  const next = scenario.createVariant(1500)
  scenario.configurationService.publish(next)
  await waitUntilInForce(scenario.fleet.nodes, next)
  scenario.configurationService.setOutage('hang')
  const added = await scenario.fleet.add()
  await added.waitReady()
  t.is(await readHeadHashInForce(added), computeHeadHash(next))
  t.like(await scenario.send('read', 'read-1', { node: added }), { result: 'in-time', answer: 'own' })
})

test.serial('a daemon without any source of configuration waits and says that it is not ready', async t => {
  const scenario = await startScenario({ seed: 57 })
  t.teardown(scenario.close)
  scenario.configurationService.setOutage('refuse')
  await scenario.fleet.nodes[0]?.kill()
  const alone = await scenario.fleet.add()
  await waitUntil('the address answers', 20_000, async () =>
    (await fetch(`http://${alone.host}:${alone.callerPort}/.well-known/wisteriavalve/ready`).catch(() => undefined))?.status === 503)
  t.like(await scenario.send('order', 'order-1', { node: alone }), { result: 'not-run', code: 'WV-1011' })
  scenario.configurationService.setOutage('none')
  await alone.waitReady()
  t.is((await scenario.send('read', 'read-1', { node: alone })).result, 'in-time')
})
