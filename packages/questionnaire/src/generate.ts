/**
 * Converts answers to the values of a configuration. The key of a value is the
 * SHA-256 of its bytes. A change of one service therefore changes the values of
 * the service, its shard and the head, and no others.
 */
import { sha256Hex, headKey, shardIdOf, valueKey } from '@wisteriavalve/common'
import type { Answers, Head, ServiceConfiguration, Shard } from '@wisteriavalve/schema'
import { resolveFleetSettings, resolveService, restoreCount } from './resolve.js'
import type { ConfigurationValue } from './types.js'

type HashedValue = ConfigurationValue & { hash: string }

const encodeValue = (fleet: string, document: unknown): HashedValue => {
  const bytes = Buffer.from(JSON.stringify(document))
  const hash = sha256Hex(bytes)
  return { key: valueKey(fleet, hash), bytes, hash }
}

const sortedRecord = (entries: Iterable<[string, string]>): Record<string, string> =>
  Object.fromEntries([...entries].sort(([a], [b]) => a < b ? -1 : 1))

/** Name and hash of each service, by shard. */
const groupByShard = (services: readonly { name: string, hash: string }[]): Map<string, [string, string][]> => {
  const shards = new Map<string, [string, string][]>()
  for (const { name, hash } of services) {
    const id = shardIdOf(name)
    shards.set(id, [...shards.get(id) ?? [], [name, hash]])
  }
  return shards
}

const buildShard = (services: [string, string][]): Shard => ({ format: 1, services: sortedRecord(services) })

/**
 * Values in the order in which they must be published: services, shards, fleet
 * settings, and the head last, because a node adopts a head only when all values
 * that it refers to are present.
 */
export const generateConfiguration = (answers: Answers): ConfigurationValue[] => {
  const { fleet } = answers
  const services = answers.services.map(resolveService)
    .map((service: ServiceConfiguration) => ({ name: service.name, ...encodeValue(fleet, service) }))
    .sort((a, b) => a.name < b.name ? -1 : 1)
  const shards = [...groupByShard(services)].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([id, entries]) => ({ id, ...encodeValue(fleet, buildShard(entries)) }))
  const settings = encodeValue(fleet, resolveFleetSettings(answers))
  const head: Head = {
    format: 1,
    fleet,
    restoreCount: restoreCount(answers),
    settingsHash: settings.hash,
    shards: sortedRecord(shards.map(({ id, hash }) => [id, hash]))
  }
  return [...services, ...shards, settings].map(({ key, bytes }) => ({ key, bytes }))
    .concat({ key: headKey(fleet), bytes: Buffer.from(JSON.stringify(head)) })
}
