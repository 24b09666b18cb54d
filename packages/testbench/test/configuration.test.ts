/**
 * Guards against configurations that differ between nodes for longer than 8 s,
 * that revert to an older version, or that a fleet loses when the configuration
 * service fails.
 */
import test from 'ava'
import { computeHeadHash, readHeadHashInForce, startScenario, countFailures, waitUntilInForce, waitUntil, type Scenario } from '../src/index.js'

const heads = (scenario: Scenario): Promise<(string | undefined)[]> => Promise.all(scenario.fleet.nodes.map(readHeadHashInForce))

const expectedHeads = (scenario: Scenario, entries: ReturnType<Scenario['createVariant']>): string[] => scenario.fleet.nodes.map(() => computeHeadHash(entries))

test.serial('configuration service down: requests are served, and a change after the outage is in force within 8 s', async t => {
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
  t.deepEqual(await heads(scenario), expectedHeads(scenario, next))
})

test.serial('a stale configuration service does not revert the configuration in force', async t => {
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
  t.deepEqual(await heads(scenario), expectedHeads(scenario, newest))
})

test.serial('after a restore from an old snapshot, only a head with a higher restore count is adopted', async t => {
  const scenario = await startScenario({ seed: 53, nodeCount: 3 })
  t.teardown(scenario.close)
  const copy = scenario.configurationService.takeSnapshot()
  // The next head on the restored service has a lower revision than the one in force.
  scenario.configurationService.publish(scenario.createVariant(1600))
  const inForce = scenario.createVariant(1500)
  scenario.configurationService.publish(inForce)
  await waitUntilInForce(scenario.fleet.nodes, inForce)
  scenario.configurationService.restore(copy)
  scenario.configurationService.publish(scenario.createVariant(1300))
  await waitUntil('a node reports service-behind', 20_000, async () =>
    (await Promise.all(scenario.fleet.nodes.map(node => node.status()))).some(status => status.configurationState === 'service-behind'))
  t.deepEqual(await heads(scenario), expectedHeads(scenario, inForce))
  const raised = scenario.createVariant(1300, 1)
  scenario.configurationService.publish(raised)
  await waitUntilInForce(scenario.fleet.nodes, raised)
  t.deepEqual(await heads(scenario), expectedHeads(scenario, raised))
})

test.serial('two operators publish at the same time: all nodes have the same configuration within 8 s', async t => {
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
  t.deepEqual(await heads(scenario), expectedHeads(scenario, other))
})

test.serial('a head whose values are missing or corrupted is not adopted', async t => {
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
  t.deepEqual(await heads(scenario), expectedHeads(scenario, next))
})

test.serial('a new daemon fetches the configuration from peers while the configuration service is down', async t => {
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

test.serial('a daemon without a source of configuration waits and reports that it is not ready', async t => {
  const scenario = await startScenario({ seed: 57 })
  t.teardown(scenario.close)
  scenario.configurationService.setOutage('refuse')
  await scenario.fleet.nodes[0]?.kill()
  const isolated = await scenario.fleet.add()
  await waitUntil('the daemon responds as not ready', 20_000, async () =>
    (await fetch(`http://${isolated.host}:${isolated.callerPort}/.well-known/wisteriavalve/ready`).catch(() => undefined))?.status === 503)
  t.like(await scenario.send('order', 'order-1', { node: isolated }), { result: 'not-run', code: 'WV-1011' })
  scenario.configurationService.setOutage('none')
  await isolated.waitReady()
  t.is((await scenario.send('read', 'read-1', { node: isolated })).result, 'in-time')
})
