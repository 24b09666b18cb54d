/** Builds the head and the values of a sample configuration for tests. */
import type { ServiceConfiguration } from '@wisteriavalve/schema'
import { sha256Hex, shardIdOf } from '@wisteriavalve/common'

export type SampleOptions = {
  fleet?: string
  restoreCount?: number
  probesPerTargetPerS?: number
  entryVmCountMax?: number
  services?: readonly Partial<ServiceConfiguration>[]
}

export type Sample = { head: Uint8Array, values: Map<string, Uint8Array> }

const OBJECTIVE = { inTimePercent: 99, windowDays: 30 }

export const sampleService = (name: string, change: Partial<ServiceConfiguration> = {}): ServiceConfiguration => ({
  format: 1,
  name,
  pathPrefix: `/${name}`,
  hosts: [],
  slotsPerTarget: 4,
  connectionsPerTarget: 300,
  healthPath: '/health',
  defaultDeadlineMs: 1000,
  targets: [],
  objective: OBJECTIVE,
  kinds: [{ name: 'read', methods: ['GET'], path: '/**', idempotent: true, deadlineMs: 500, boundedBy: 'deadline', weight: 1, bodyBytesMax: 0, objective: OBJECTIVE }],
  ...change
})

const toBytes = (value: unknown): Uint8Array => new TextEncoder().encode(JSON.stringify(value))

export const sampleConfiguration = (options: SampleOptions = {}): Sample => {
  const values = new Map<string, Uint8Array>()
  const store = (value: unknown): string => {
    const bytes = toBytes(value)
    values.set(sha256Hex(bytes), bytes)
    return sha256Hex(bytes)
  }
  const { fleet = 'okonkwo', restoreCount = 0, probesPerTargetPerS = 2, entryVmCountMax = 24 } = options
  const shards: Record<string, Record<string, string>> = {}
  for (const { name = 'stockview', ...change } of options.services ?? [{}]) {
    const hash = store(sampleService(name, change))
    shards[shardIdOf(name)] = { ...shards[shardIdOf(name)], [name]: hash }
  }
  const settingsHash = store({
    format: 1, fleet, region: 'ng-south', zones: ['lagos-a', 'lagos-b', 'ibadan-c'], entryVmCountMax, probesPerTargetPerS, probeCpuPercent: 2, entryAddressCount: 4, entryLifetimeMs: 10000
  })
  const shardHashes = Object.fromEntries(Object.entries(shards).map(([id, services]) => [id, store({ format: 1, services })]))
  return { head: toBytes({ format: 1, fleet, restoreCount, settingsHash, shards: shardHashes }), values }
}
