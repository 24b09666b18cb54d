/**
 * Small deployment for integration tests: one service, `shop`, with the kinds
 * read (idempotent), order (not idempotent) and upload.
 */
import { createConfiguration, createFleetSettings, createKind, createService } from './configuration.js'
import { startDeployment, type Deployment, type DeploymentOptions } from './deployment.js'
import { WAIT_TIMEOUT_MS } from './daemon-process.js'
import type { FleetNode } from './fleet-harness.js'
import { createCaller } from './load/caller.js'
import { startLoad, type LoadRun } from './load/generator.js'
import { toKindLoad } from './load/kinds.js'
import type { CallOutcome, KindLoad, LoadOptions } from './load/types.js'
import type { BackendOptions } from './backend/types.js'
import type { ConfigurationEntry } from './platform/configuration-service.js'
import { waitUntil } from './wait.js'

export type ScenarioOptions = Pick<DeploymentOptions, 'isSeparateProcess' | 'isBehindProxy' | 'hasNodeProxies' | 'nodeSettings' | 'policy'> & {
  seed: number
  nodeCount?: number
  targetCount?: number
  slots?: number
  backend?: Partial<BackendOptions>
  entryLifetimeMs?: number
  readDeadlineMs?: number
  /** Maximum connections to a target from the whole fleet of at most 24 nodes; 24 gives one to each node. */
  connectionsPerTarget?: number
}

export type SendOptions = {
  node?: FleetNode
  /** Query of the request, which controls the backend server test double. */
  query?: string
  changes?: Partial<KindLoad>
}

export type Scenario = Deployment & {
  kinds: Record<'read' | 'order' | 'upload', KindLoad>
  /** Sends one request to a node, by default to the first one. */
  send: (kind: keyof Scenario['kinds'], requestId: string, options?: SendOptions) => Promise<CallOutcome>
  /** Starts a mixed load of callers that fetch the node addresses first. */
  load: (options: Partial<LoadOptions> & Pick<LoadOptions, 'ratePerS' | 'durationMs'>) => LoadRun
  /** A configuration that differs from the initial one only in the deadline of reads and the restore count. */
  createVariant: (readDeadlineMs: number, restoreCount?: number) => ConfigurationEntry[]
}

const FLEET = 'testfleet'
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const REQUESTS_MAX = 5000
const CALLER_COUNT = 20

const createShop = (slots: number, readDeadlineMs: number, connectionsPerTarget = 300) => createService('shop', [
  createKind({ name: 'read', path: '/shop/items/*', deadlineMs: readDeadlineMs }),
  createKind({ name: 'order', methods: ['POST'], path: '/shop/orders/*', idempotent: false, deadlineMs: 3000, weight: 5 }),
  createKind({ name: 'upload', methods: ['PUT'], path: '/shop/media/*', idempotent: false, boundedBy: 'progress', deadlineMs: 15_000, bodyBytesMax: 8 * 1024 * 1024, weight: 3 })
], { slotsPerTarget: slots, connectionsPerTarget })

/** Waits for full membership: before that, entry answers of a node contain only some of the addresses. */
const waitUntilJoined = async ({ fleet, close }: Deployment): Promise<void> => {
  try {
    await Promise.all(fleet.nodes.map(node => waitUntil(`${node.nodeId} lists all nodes as alive`, WAIT_TIMEOUT_MS, async () =>
      (await node.status()).members.filter(member => member.state === 'alive').length === fleet.nodes.length)))
  } catch (error) {
    await close()
    throw error
  }
}

export const startScenario = async (options: ScenarioOptions): Promise<Scenario> => {
  const slots = options.slots ?? 4
  const readDeadlineMs = options.readDeadlineMs ?? 2000
  const settings = createFleetSettings(FLEET, [...ZONES], { entryLifetimeMs: options.entryLifetimeMs ?? 2000 })
  const createVariant: Scenario['createVariant'] = (deadlineMs, restoreCount = 0) =>
    createConfiguration(settings, [createShop(slots, deadlineMs, options.connectionsPerTarget)], restoreCount)
  const deployment = await startDeployment({
    ...options,
    settings,
    configurationEntries: createVariant(readDeadlineMs),
    services: [{ name: 'shop', targetCount: options.targetCount ?? 3, slots, backend: { serviceTimeMs: 5, ...options.backend } }],
    nodeCount: options.nodeCount ?? 1
  })
  await waitUntilJoined(deployment)
  const shop = createShop(slots, readDeadlineMs)
  const [read, order, upload] = shop.kinds.map(kind => toKindLoad(shop, kind)) as [KindLoad, KindLoad, KindLoad]
  const kinds = { read, order, upload }

  const send: Scenario['send'] = async (name, requestId, { node = deployment.fleet.nodes[0], query, changes } = {}) => {
    if (!node) throw new Error('the fleet has no nodes')
    const caller = createCaller({ localAddress: '127.9.0.1', entryAddresses: [{ host: node.host, port: node.callerPort }], shouldFetchAddresses: false })
    const kind = { ...kinds[name], ...changes }
    try {
      return await caller.call({ ...kind, path: query ? `${kind.path}?${query}` : kind.path }, requestId, 1, performance.now())
    } finally {
      caller.close()
    }
  }

  return {
    ...deployment,
    kinds,
    send,
    createVariant,
    load: load => startLoad({
      kinds: [read, { ...order, share: 2 }],
      requestsMax: REQUESTS_MAX,
      seed: options.seed,
      callerCount: CALLER_COUNT,
      entryAddresses: deployment.entryAddresses(),
      zones: ZONES,
      ...load
    })
  }
}

/** Intended start of a request, as Unix time in ms. */
export const intendedStartMs = (outcome: CallOutcome): number => outcome.endedMs - outcome.latencyMs
