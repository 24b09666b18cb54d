/**
 * Parses and fully validates the documents of a configuration. A document that
 * fails any check prevents the whole configuration from being adopted.
 */
import { shardIdOf } from '@wisteriavalve/common'
import {
  explainErrors, isFleetSettings, isHead, isServiceConfiguration, isShard,
  type FleetSettings, type Head, type ServiceConfiguration, type Shard
} from '@wisteriavalve/schema'
import type { ConfigurationFault, ParseResult } from './types.js'

type Validator<T> = { (value: unknown): value is T, errors?: Parameters<typeof explainErrors>[0]['errors'] }

const decoder = new TextDecoder('utf-8', { fatal: true })

const fail = (code: ConfigurationFault['code'], message: string): { ok: false, error: ConfigurationFault } =>
  ({ ok: false, error: { code, message } })

const parseDocument = <T>(name: string, bytes: Uint8Array, validate: Validator<T>): ParseResult<T> => {
  let value: unknown
  try {
    value = JSON.parse(decoder.decode(bytes))
  } catch {
    return fail('value-invalid', `${name} is not JSON`)
  }
  if (validate(value)) return { ok: true, value }
  const first = explainErrors(validate)[0]
  return fail('value-invalid', `${name}: ${first?.path ?? ''} ${first?.message ?? 'is not valid'}`)
}

export const parseHead = (bytes: Uint8Array, fleet: string, restoreCount: number): ParseResult<Head> => {
  const head = parseDocument('head', bytes, isHead)
  if (!head.ok) return head
  if (head.value.fleet !== fleet) return fail('fleet-mismatch', `head belongs to fleet ${head.value.fleet}`)
  if (head.value.restoreCount !== restoreCount) return fail('value-invalid', 'restore count differs from the one in the head')
  return head
}

export const parseFleetSettings = (bytes: Uint8Array, fleet: string): ParseResult<FleetSettings> => {
  const settings = parseDocument('fleet settings', bytes, isFleetSettings)
  if (settings.ok && settings.value.fleet !== fleet) return fail('fleet-mismatch', `fleet settings belong to fleet ${settings.value.fleet}`)
  return settings
}

export const parseShard = (bytes: Uint8Array, shardId: string): ParseResult<Shard> => {
  const shard = parseDocument(`shard ${shardId}`, bytes, isShard)
  if (!shard.ok) return shard
  const foreign = Object.keys(shard.value.services).find(service => shardIdOf(service) !== shardId)
  return foreign === undefined ? shard : fail('value-invalid', `service ${foreign} does not belong to shard ${shardId}`)
}

const findDuplicate = (values: readonly string[]): string | undefined =>
  new Set(values).size === values.length ? undefined : values.find((value, index) => values.indexOf(value) !== index)

export const parseService = (bytes: Uint8Array, name: string): ParseResult<ServiceConfiguration> => {
  const service = parseDocument(`service ${name}`, bytes, isServiceConfiguration)
  if (!service.ok) return service
  if (service.value.name !== name) return fail('value-invalid', `service ${name} holds the configuration of ${service.value.name}`)
  const target = findDuplicate(service.value.targets.map(({ id }) => id))
  if (target !== undefined) return fail('value-invalid', `service ${name} lists target ${target} twice`)
  const kind = findDuplicate(service.value.kinds.map(kind => kind.name))
  return kind === undefined ? service : fail('value-invalid', `service ${name} lists kind ${kind} twice`)
}

/** Checks across services: a request must match only one service. */
export const checkServices = (services: Iterable<ServiceConfiguration>): ConfigurationFault | undefined => {
  const all = [...services]
  const prefix = findDuplicate(all.map(({ pathPrefix }) => pathPrefix))
  if (prefix !== undefined) return { code: 'value-invalid', message: `two services have the path prefix ${prefix}` }
  const host = findDuplicate(all.flatMap(({ hosts }) => [...new Set(hosts)]))
  return host === undefined ? undefined : { code: 'value-invalid', message: `two services have the host ${host}` }
}

/** Restore count in a head, or 0 when it cannot be read; parseHead then reports the fault. */
export const restoreCountOf = (bytes: Uint8Array): number => {
  try {
    const value: unknown = JSON.parse(decoder.decode(bytes))
    const count = typeof value === 'object' && value !== null && 'restoreCount' in value ? value.restoreCount : undefined
    return typeof count === 'number' && Number.isInteger(count) && count >= 0 ? count : 0
  } catch {
    return 0
  }
}
