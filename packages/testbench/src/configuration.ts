/**
 * Builds configuration entries directly from settings and services, so a test can
 * specify exactly what it needs. The demo uses the command-line tool instead.
 */
import { sha256Hex, headKey, shardIdOf, valueKey } from '@wisteriavalve/common'
import { isFleetSettings, isServiceConfiguration, type FleetSettings, type Kind, type ServiceConfiguration } from '@wisteriavalve/schema'
import type { ConfigurationEntry } from './platform/configuration-service.js'

const OBJECTIVE = { inTimePercent: 99.9, windowDays: 28 }

export const createFleetSettings = (fleet: string, zones: FleetSettings['zones'], changes: Partial<FleetSettings> = {}): FleetSettings => ({
  format: 1,
  fleet,
  region: 'test',
  zones,
  entryVmCountMax: 24,
  probesPerTargetPerS: 2,
  probeCpuPercent: 2,
  entryAddressCount: 4,
  entryLifetimeMs: 10_000,
  ...changes
})

export const createKind = (changes: Partial<Kind> & Pick<Kind, 'name'>): Kind => ({
  methods: ['GET'],
  path: '/**',
  idempotent: true,
  deadlineMs: 2000,
  boundedBy: 'deadline',
  weight: 1,
  bodyBytesMax: 65_536,
  objective: OBJECTIVE,
  ...changes
})

export const createService = (name: string, kinds: ServiceConfiguration['kinds'], changes: Partial<ServiceConfiguration> = {}): ServiceConfiguration => ({
  format: 1,
  name,
  pathPrefix: `/${name}`,
  hosts: [],
  slotsPerTarget: 4,
  connectionsPerTarget: 300,
  healthPath: '/health',
  defaultDeadlineMs: 2000,
  targets: [],
  objective: OBJECTIVE,
  kinds,
  ...changes
})

type Value = { hash: string, bytes: Buffer }

const toValue = (document: unknown): Value => {
  const bytes = Buffer.from(JSON.stringify(document))
  return { bytes, hash: sha256Hex(bytes) }
}

/** Entries to publish: all values, then the head. */
export const createConfiguration = (settings: FleetSettings, services: readonly ServiceConfiguration[], restoreCount = 0): ConfigurationEntry[] => {
  const shards = new Map<string, Record<string, string>>()
  const values: Value[] = []
  for (const service of services) {
    const value = toValue(service)
    values.push(value)
    const shard = shardIdOf(service.name)
    shards.set(shard, { ...shards.get(shard), [service.name]: value.hash })
  }
  const shardHashes: Record<string, string> = {}
  for (const [shard, hashes] of [...shards].sort()) {
    const value = toValue({ format: 1, services: hashes })
    values.push(value)
    shardHashes[shard] = value.hash
  }
  const settingsValue = toValue(settings)
  const head = { format: 1, fleet: settings.fleet, restoreCount, settingsHash: settingsValue.hash, shards: shardHashes }
  return [
    ...[settingsValue, ...values].map(({ hash, bytes }) => ({ key: valueKey(settings.fleet, hash), bytes })),
    { key: headKey(settings.fleet), bytes: toValue(head).bytes }
  ]
}

const parse = (entry: ConfigurationEntry): unknown => JSON.parse(Buffer.from(entry.bytes).toString())

/** Service configurations among the entries, by name. */
export const findServices = (entries: readonly ConfigurationEntry[]): ServiceConfiguration[] =>
  entries.map(parse).filter((document): document is ServiceConfiguration => isServiceConfiguration(document))
    .sort((a, b) => a.name < b.name ? -1 : 1)

/** @throws Error when the entries contain no fleet settings */
export const findFleetSettings = (entries: readonly ConfigurationEntry[]): FleetSettings => {
  const found = entries.map(parse).find((document): document is FleetSettings => isFleetSettings(document))
  if (!found) throw new Error('the configuration contains no fleet settings')
  return found
}
