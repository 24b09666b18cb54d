/**
 * Adoption of configurations. Heads are offered from any source; the state
 * says which values are missing and puts a head in force once all of them are
 * present, hash to their name and pass the full check. The order never goes
 * back. Several heads are collected at a time, so that one that cannot be
 * completed blocks neither a newer nor an older one.
 */
import { LRUCache } from 'lru-cache'
import { hashBytes, shardOf } from '@wisteriavalve/common'
import type { ConfigurationOrder, FleetSettings, Head, ServiceConfiguration, Shard } from '@wisteriavalve/schema'
import { createAdoption, type Adoption } from './adoption-machine.js'
import {
  checkServices, parseFleetSettings, parseHead, parseService, parseShard
} from './configuration-documents.js'
import { PENDING_HEADS_MAX, REJECTED_HEADS_MAX } from './constants.js'
import { compareOrder } from './order.js'
import type { AdoptedConfiguration, ConfigurationFault, ConfigurationState, ConfigurationStep, HeadCandidate, ParseResult } from './types.js'

export type ConfigurationStateOptions = {
  fleet: string
  /** Services that this node serves; empty for all. */
  services: readonly string[]
}

type Pending = {
  order: ConfigurationOrder
  head: Head
  bytes: Uint8Array
  adoption: Adoption
  /** Values that the next step of the adoption waits for. */
  awaited: Set<string>
}
type Parsed = FleetSettings | Shard | ServiceConfiguration

export const createConfigurationState = (options: ConfigurationStateOptions): ConfigurationState => {
  const values = new Map<string, Uint8Array>()
  const parsed = new Map<string, Parsed>()
  const rejected = new LRUCache<string, ConfigurationFault>({ max: REJECTED_HEADS_MAX })
  let pending: Pending[] = []
  let inForce: { configuration: AdoptedConfiguration, bytes: Uint8Array, hashes: Set<string>, adoption: Adoption } | undefined

  const isWanted = (service: string): boolean => options.services.length === 0 || options.services.includes(service)
  const neededShards = (head: Head): Array<[string, string]> => {
    const wanted = new Set(options.services.map(shardOf))
    return Object.entries(head.shards).filter(([id]) => wanted.size === 0 || wanted.has(id))
  }
  const missing = (hashes: readonly string[]): string[] => hashes.filter(hash => !values.has(hash))

  /** Parses a stored value once for all heads that refer to it. */
  const read = <T extends Parsed>(hash: string, parse: (bytes: Uint8Array) => ParseResult<T>): ParseResult<T> => {
    const known = parsed.get(hash)
    if (known) return { ok: true, value: known as T }
    const result = parse(values.get(hash) as Uint8Array)
    if (result.ok) parsed.set(hash, result.value)
    return result
  }

  const reject = (head: Pending, fault: ConfigurationFault): ConfigurationStep => {
    head.adoption.send({ type: 'fault', fault })
    rejected.set(orderKey(head.order), fault)
    pending = pending.filter(other => other !== head)
    prune()
    return { step: 'rejected', fault }
  }

  const readShards = (head: Pending): ParseResult<Map<string, string>> => {
    const serviceHashes = new Map<string, string>()
    for (const [id, hash] of neededShards(head.head)) {
      const shard = read(hash, bytes => parseShard(bytes, id))
      if (!shard.ok) return shard
      for (const [name, serviceHash] of Object.entries(shard.value.services)) {
        if (isWanted(name)) serviceHashes.set(name, serviceHash)
      }
    }
    return { ok: true, value: serviceHashes }
  }

  const readServices = (hashes: ReadonlyMap<string, string>): ParseResult<Map<string, ServiceConfiguration>> => {
    const services = new Map<string, ServiceConfiguration>()
    for (const [name, hash] of hashes) {
      const service = read(hash, bytes => parseService(bytes, name))
      if (!service.ok) return service
      services.set(name, service.value)
    }
    const error = checkServices(services.values())
    return error ? { ok: false, error } : { ok: true, value: services }
  }

  const rootHashes = (head: Head): string[] => [head.settingsHash, ...neededShards(head).map(([, hash]) => hash)]

  const awaitValues = (head: Pending, hashes: readonly string[]): ConfigurationStep => {
    head.awaited = new Set(hashes)
    return { step: 'fetch', hashes: [...head.awaited] }
  }

  /** Takes a head as far as the values allow. */
  const advance = (head: Pending): ConfigurationStep => {
    const roots = rootHashes(head.head)
    const missingRoots = missing(roots)
    if (missingRoots.length > 0) return awaitValues(head, missingRoots)
    const settings = read(head.head.settingsHash, bytes => parseFleetSettings(bytes, options.fleet))
    if (!settings.ok) return reject(head, settings.error)
    const serviceHashes = readShards(head)
    if (!serviceHashes.ok) return reject(head, serviceHashes.error)
    head.adoption.send({ type: 'roots-complete' })
    const missingServices = missing([...serviceHashes.value.values()])
    if (missingServices.length > 0) return awaitValues(head, missingServices)
    const services = readServices(serviceHashes.value)
    if (!services.ok) return reject(head, services.error)
    const hashes = new Set([...roots, ...serviceHashes.value.values()])
    return adopt(head, { order: head.order, head: head.head, settings: settings.value, services: services.value }, hashes)
  }

  const adopt = (head: Pending, configuration: AdoptedConfiguration, hashes: Set<string>): ConfigurationStep => {
    inForce?.adoption.send({ type: 'superseded' })
    head.adoption.send({ type: 'services-complete' })
    inForce = { configuration, bytes: head.bytes, hashes, adoption: head.adoption }
    for (const other of pending) if (other !== head && compareOrder(other.order, head.order) <= 0) other.adoption.send({ type: 'superseded' })
    pending = pending.filter(other => compareOrder(other.order, head.order) > 0)
    prune()
    return { step: 'adopted', configuration }
  }

  /** Hashes that a pending head refers to, as far as its shards are known. */
  const referredBy = (head: Pending): string[] => {
    const services = missing(rootHashes(head.head)).length === 0 ? readShards(head) : undefined
    return [...rootHashes(head.head), ...(services?.ok ? services.value.values() : [])]
  }

  const prune = (): void => {
    const kept = new Set([...(inForce?.hashes ?? []), ...pending.flatMap(referredBy)])
    for (const hash of values.keys()) if (!kept.has(hash)) values.delete(hash)
    for (const hash of parsed.keys()) if (!kept.has(hash)) parsed.delete(hash)
  }

  const addPending = (head: Pending): void => {
    pending = [...pending, head].sort((a, b) => compareOrder(b.order, a.order))
    for (const dropped of pending.splice(PENDING_HEADS_MAX)) dropped.adoption.send({ type: 'superseded' })
  }

  const offerHead = (candidate: HeadCandidate): ConfigurationStep => {
    const order = { restoreCount: candidate.restoreCount, revision: candidate.revision, headHash: hashBytes(candidate.bytes) }
    if (inForce) {
      const compared = compareOrder(order, inForce.configuration.order)
      if (compared <= 0) return { step: 'ignored', reason: compared === 0 ? 'same' : 'older' }
    }
    const known = pending.find(other => compareOrder(other.order, order) === 0)
    if (known) return advance(known)
    const earlier = rejected.get(orderKey(order))
    if (earlier) return { step: 'rejected', fault: earlier }
    const head = parseHead(candidate.bytes, options.fleet, candidate.restoreCount)
    if (!head.ok) {
      rejected.set(orderKey(order), head.error)
      return { step: 'rejected', fault: head.error }
    }
    const entry = { order, head: head.value, bytes: candidate.bytes, adoption: createAdoption(), awaited: new Set<string>() }
    addPending(entry)
    return pending.includes(entry) ? advance(entry) : { step: 'ignored', reason: 'older' }
  }

  /**
   * Takes a value from the heads that wait for it, newest first, and advances
   * those that have all they wait for. Advancing on each value would read every
   * shard again, which took 3.3 s for 2,200 services.
   */
  const advanceWith = (hash: string): ConfigurationStep => {
    const waiting = pending.filter(({ awaited }) => awaited.delete(hash))
    let result: ConfigurationStep = { step: 'ignored', reason: 'same' }
    for (const head of waiting) {
      const step: ConfigurationStep = head.awaited.size > 0 ? { step: 'fetch', hashes: [] } : advance(head)
      if (step.step === 'adopted') return step
      if (result.step !== 'rejected') result = step
    }
    return result
  }

  const provideValue = (hash: string, bytes: Uint8Array): ConfigurationStep => {
    if (hashBytes(bytes) !== hash) return { step: 'rejected', fault: { code: 'value-hash-mismatch', message: `value ${hash} has other bytes` } }
    if (!isPending(hash)) return { step: 'ignored', reason: 'same' }
    values.set(hash, bytes)
    return advanceWith(hash)
  }

  const isPending = (hash: string): boolean => pending.some(({ awaited }) => awaited.has(hash))

  const pendingHashes = (): string[] => [...new Set(pending.flatMap(({ awaited }) => [...awaited]))]

  return {
    offerHead,
    provideValue,
    pendingHashes,
    isPending,
    pendingOrders: () => pending.map(({ order }) => order),
    adopted: () => inForce?.configuration,
    headBytes: () => inForce?.bytes,
    valueBytes: hash => values.get(hash)
  }
}

const orderKey = (order: ConfigurationOrder): string => `${order.restoreCount}/${order.revision}/${order.headHash}`
