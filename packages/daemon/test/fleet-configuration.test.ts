/**
 * Guards the configuration of running nodes against incomplete and invalid
 * publications, against a stale copy of the configuration service at the start
 * of a node, and against reads that overload the service during and after an
 * outage.
 */
import test from 'ava'
import { sampleConfiguration } from '@wisteriavalve/fleet/testing'
import type { ExecutionContext } from 'ava'
import { createEntryVm, createNodeSettings, startTestNode, waitUntil, type TestNode } from './fleet-nodes.js'
import { openPlatformDouble, type PlatformDouble } from './platform-double.js'

const startFleet = async (t: ExecutionContext, count: number, platform: PlatformDouble): Promise<TestNode[]> => {
  const settings = Array.from({ length: count }, (_, index) => createNodeSettings(index, platform.url))
  platform.setVms(settings.map(createEntryVm))
  const nodes = await Promise.all(settings.map(startTestNode))
  t.teardown(async () => { await Promise.all(nodes.map(node => node.runtime.stop())); await platform.close() })
  return nodes
}

const revisionOf = (node: TestNode): number | undefined => node.runtime.configuration()?.order.revision
const isInForceEverywhere = (nodes: TestNode[], revision: number) => (): boolean => nodes.every(node => revisionOf(node) === revision)

test('an incomplete and an invalid head leave the configuration in force, report the reason, and do not block the next one', async t => {
  const platform = await openPlatformDouble()
  const first = platform.publish(sampleConfiguration())
  const nodes = await startFleet(t, 3, platform)
  await waitUntil('adopted', isInForceEverywhere(nodes, first))
  const incomplete = sampleConfiguration({ probesPerTargetPerS: 3 })
  platform.publish({ head: incomplete.head, values: new Map() })
  await waitUntil('reported', () => nodes.some(node => node.runtime.configurationStatus().reason?.includes('value-missing') === true))
  platform.publish(sampleConfiguration({ services: [{ name: 'stockview', slotsPerTarget: 0 }] }))
  await waitUntil('rejected', () => nodes.some(node => node.runtime.configurationStatus().reason?.includes('value-invalid') === true))
  t.true(nodes.every(node => revisionOf(node) === first))
  const last = platform.publish(sampleConfiguration({ probesPerTargetPerS: 4 }))
  const spreadMs = await waitUntil('next one in force', isInForceEverywhere(nodes, last))
  t.true(spreadMs < 8000)
  t.true(nodes.every(node => node.runtime.configurationStatus().state === 'current'))
})

test('a new node serves with the peers’ newer configuration when its copy of the service is stale', async t => {
  const platform = await openPlatformDouble()
  const first = platform.publish(sampleConfiguration())
  const nodes = await startFleet(t, 3, platform)
  await waitUntil('adopted', isInForceEverywhere(nodes, first))
  const stale = await openPlatformDouble()
  stale.publish(sampleConfiguration({ probesPerTargetPerS: 9 }), 1)
  const settings = createNodeSettings(3, platform.url, { configurationServiceUrl: stale.url })
  const late = await startTestNode(settings)
  t.teardown(async () => { await late.runtime.stop(); await stale.close() })
  await waitUntil('adopted', () => late.adopted.length > 0)
  t.is(late.adopted[0]?.order.revision, first)
})

test('an outage of the service causes few reads, nodes keep their configuration, and all adopt the first head after it', async t => {
  const platform = await openPlatformDouble()
  const first = platform.publish(sampleConfiguration())
  const nodes = await startFleet(t, 6, platform)
  await waitUntil('adopted', isInForceEverywhere(nodes, first))
  const reads = (): number => nodes.reduce((sum, node) => sum + (node.runtime.counters().configuration_service_reads ?? 0), 0)
  platform.setAvailable(false)
  const before = reads()
  await waitUntil('noticed', () => nodes.some(node => node.runtime.configurationStatus().state === 'service-unreachable'))
  await new Promise(resolve => { setTimeout(resolve, 3000) })
  const during = reads() - before
  t.true(isInForceEverywhere(nodes, first)())
  platform.setAvailable(true)
  const revision = platform.publish(sampleConfiguration({ probesPerTargetPerS: 5 }))
  const spreadMs = await waitUntil('new head everywhere', isInForceEverywhere(nodes, revision))
  t.log(`reads_during_outage=${during} reads_total=${reads()} spread_after_outage_ms=${spreadMs.toFixed(0)}`)
  t.true(during <= 60)
  t.true(spreadMs < 8000)
})
