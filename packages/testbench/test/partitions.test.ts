/**
 * Guards against fleets that stop serving during a partition or do not merge
 * after it, and against targets that are lost through a stale or empty VM list.
 */
import test from 'ava'
import { startScenario, countFailures, waitUntilInForce, waitUntil, type FleetNode } from '../src/index.js'

const aliveIds = async (node: FleetNode): Promise<string> =>
  (await node.status()).members.filter(member => member.state === 'alive').map(member => member.nodeId).sort().join()

test.serial('both sides of a partition serve requests and adopt new configurations, and merge after it', async t => {
  const scenario = await startScenario({ seed: 61, nodeCount: 4, hasNodeProxies: true })
  t.teardown(scenario.close)
  const { nodes } = scenario.fleet
  const waitMembers = (which: readonly FleetNode[], ids: string): Promise<string[]> => Promise.all(which.map(node =>
    waitUntil(`${node.nodeId} lists ${ids} as alive`, 40_000, async () => (await aliveIds(node)) === ids && ids)))
  await waitMembers(nodes, 'entry-1,entry-2,entry-3,entry-4')
  const group = nodes.slice(0, 2)
  scenario.fleet.partition(group)
  await waitMembers(group, 'entry-1,entry-2')
  await waitMembers(nodes.slice(2), 'entry-3,entry-4')
  for (const node of nodes) t.is((await scenario.send('read', `read-${node.nodeId}`, { node })).result, 'in-time')
  const next = scenario.createVariant(1500)
  scenario.configurationService.publish(next)
  await waitUntilInForce(nodes, next)
  scenario.fleet.partition([])
  await waitMembers(nodes, 'entry-1,entry-2,entry-3,entry-4')
  t.pass()
})

test.serial('an empty VM list removes no target', async t => {
  const scenario = await startScenario({ seed: 62, nodeCount: 2 })
  t.teardown(scenario.close)
  scenario.vmList.setEmpty(true)
  const reads = scenario.vmList.readCount()
  const load = scenario.load({ ratePerS: 60, durationMs: 4000 })
  await waitUntil('the empty VM list was read', 20_000, () => scenario.vmList.readCount() >= reads + 2)
  const outcomes = await load.done
  t.deepEqual(countFailures(outcomes), {})
  for (const node of scenario.fleet.nodes) {
    const usable = (await node.status()).targets.filter(target => target.health === 'ready' || target.health === 'cold')
    t.deepEqual(usable.map(target => target.targetId).sort(), ['shop-1', 'shop-2', 'shop-3'])
  }
})

test.serial('stale VM list: requests avoid the killed target, and use the new target when the list is up to date again', async t => {
  const scenario = await startScenario({ seed: 63, targetCount: 4 })
  t.teardown(scenario.close)
  scenario.vmList.remove('shop-4')
  const { vm } = scenario.backend('shop-4')
  scenario.vmList.setStale(true)
  await scenario.backend('shop-1').kill()
  const outcomes = await scenario.load({ ratePerS: 60, durationMs: 3000 }).done
  t.deepEqual(countFailures(outcomes), {})
  scenario.vmList.setStale(false)
  scenario.vmList.remove('shop-1')
  scenario.vmList.add({ ...vm, vmId: 'shop-5' })
  const load = scenario.load({ ratePerS: 60, durationMs: 8000, seed: 64 })
  const before = scenario.record.events().filter(event => event.serverId === 'shop-4').length
  await waitUntil('the new target gets requests', 20_000, () => scenario.record.events().filter(event => event.serverId === 'shop-4').length > before + 5)
  load.stop()
  await load.done
  t.pass()
})

test.serial('VM list down after the start of a node: the node serves requests', async t => {
  const scenario = await startScenario({ seed: 65, nodeCount: 2 })
  t.teardown(scenario.close)
  const [first] = scenario.fleet.nodes
  await waitUntil('the nodes list each other as alive', 20_000, async () => first !== undefined && (await aliveIds(first)) === 'entry-1,entry-2')
  await scenario.fleet.nodes[1]?.stop()
  const added = await scenario.fleet.add()
  await added.waitReady()
  scenario.vmList.setOutage('refuse')
  t.is((await scenario.send('read', 'read-1', { node: added })).result, 'in-time')
})
