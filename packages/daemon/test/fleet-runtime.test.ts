/**
 * Guards the fleet runtime on real sockets against configurations that do not
 * reach every node, replacement nodes that depend on the configuration service,
 * and late updates of targets.
 */
import test from 'ava'
import { sampleConfiguration } from '@wisteriavalve/fleet/testing'
import { createNodeSettings, startTestNode, waitUntil, createEntryVm, type TestNode } from './fleet-nodes.js'
import { openPlatformDouble, type PlatformDouble } from './platform-double.js'

const createBackendVm = (index: number, state: 'live' | 'leaving' = 'live') =>
  ({ vmId: `stock-${index}`, role: 'backend' as const, service: 'stockview', zone: 'lagos-a', host: '127.0.0.1', port: 9 + index, state })

const startFleet = async (count: number, platform: PlatformDouble): Promise<TestNode[]> => {
  const settings = Array.from({ length: count }, (_, index) => createNodeSettings(index, platform.url))
  platform.setVms([...settings.map(createEntryVm), createBackendVm(1), createBackendVm(2)])
  return Promise.all(settings.map(startTestNode))
}

const revisionOf = (node: TestNode): number | undefined => node.runtime.configuration()?.order.revision

test('a fleet adopts a new head within seconds, drains leaving VMs, and gives replacement nodes the configuration while the service has none', async t => {
  const platform = await openPlatformDouble()
  platform.publish(sampleConfiguration())
  const nodes = await startFleet(6, platform)
  t.teardown(() => Promise.all([...nodes.map(node => node.runtime.stop()), platform.close()]))
  await waitUntil('all adopt', () => nodes.every(node => node.adopted.length === 1))
  await waitUntil('all are members', () => nodes.every(node => node.runtime.members().length === 6))
  t.deepEqual(nodes[0]?.targets.get('stockview')?.targets.map(({ id }) => id).sort(), ['stock-1', 'stock-2'])
  t.is(nodes[0]?.runtime.entryAnswer({ zone: 'lagos-a' }).addresses.length, 4)

  const revision = platform.publish(sampleConfiguration({ probesPerTargetPerS: 1 }))
  const spreadMs = await waitUntil('new head everywhere', () => nodes.every(node => revisionOf(node) === revision))
  t.true(spreadMs < 8000)

  platform.setVms([...nodes.map(({ vm }) => vm), createBackendVm(1, 'leaving'), createBackendVm(2)])
  const drainMs = await waitUntil('draining everywhere', () => nodes.every(node =>
    node.targets.get('stockview')?.leavingIds.includes('stock-1') || node.notes.some(note => note.targetId === 'stock-1' && note.observation === 'draining')))
  t.true(drainMs < 3000)
  t.log(`spread_ms=${spreadMs.toFixed(0)} drain_ms=${drainMs.toFixed(0)}`)

  platform.setAvailable(false)
  platform.setVms([])
  const settings = createNodeSettings(6, platform.url)
  platform.setAvailable(true)
  platform.setVms(nodes.map(({ vm }) => vm))
  // A configuration service without a head, as after a loss of its data. The VM list works.
  const empty = await openPlatformDouble()
  const late = await startTestNode({ ...settings, configurationServiceUrl: empty.url })
  nodes.push(late)
  t.teardown(() => empty.close())
  await waitUntil('replaced node adopts from peers', () => revisionOf(late) === revision)
  const results = await late.runtime.queryFleetStatus()
  t.true(results.nodes.length >= 1)
})

test('an older head of the service is not adopted and is reported', async t => {
  const platform = await openPlatformDouble()
  platform.publish(sampleConfiguration(), 50)
  const [node] = await startFleet(1, platform) as [TestNode]
  t.teardown(() => Promise.all([node.runtime.stop(), platform.close()]))
  await waitUntil('adopted', () => revisionOf(node) === 50)
  await waitUntil('the watch waits', () => platform.readCount() >= 4)
  platform.publish(sampleConfiguration({ probesPerTargetPerS: 7 }), 20)
  await waitUntil('reported', () => node.runtime.configurationStatus().state === 'service-behind')
  t.is(revisionOf(node), 50)
  t.is(node.logs.filter(({ event }) => event === 'configuration_service_behind').length, 1)
  platform.publish(sampleConfiguration({ restoreCount: 1 }), 21)
  await waitUntil('raised restore count wins', () => revisionOf(node) === 21)
  t.is(node.runtime.configurationStatus().state, 'current')
})
