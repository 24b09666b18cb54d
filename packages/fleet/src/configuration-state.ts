/**
 * Adoption of configurations. Heads are offered from any source. A head is
 * adopted once all its values are present, match their hashes and pass
 * validation; until then the missing values are reported. An older head never
 * replaces a newer one. Several heads are collected at the same time, so a head
 * that cannot be completed blocks neither newer nor older ones.
 */
import { LRUCache } from 'lru-cache'
import { sha256Hex, shardIdOf } from '@wisteriavalve/common'
import type { ConfigurationOrder, FleetSettings, Head, ServiceConfiguration, Shard } from '@wisteriavalve/schema'
import { createAdoption, type Adoption } from './adoption-machine.js'
import {
  checkServices, parseFleetSettings, parseHead, parseService, parseShard
} from './configuration-documents.js'
import { PENDING_HEADS_MAX, REJECTED_HEADS_MAX } from './constants.js'
import { compareOrder } from './configuration-order.js'
import type { AdoptedConfiguration, ConfigurationFault, ConfigurationState, ConfigurationStep, HeadCandidate, ParseResult } from './types.js'

export type ConfigurationStateOptions = {
  fleet: string
  /** Services served by this node; empty for all. */
  services: readonly string[]
}

type PendingHead = {
  order: ConfigurationOrder
  head: Head
  bytes: Uint8Array
  adoption: Adoption
  /** Values required for the next step of the adoption. */
  awaited: Set<string>
}
type Parsed = FleetSettings | Shard | ServiceConfiguration

export const createConfigurationState = (options: ConfigurationStateOptions): ConfigurationState => {
  const values = new Map<string, Uint8Array>()
  const parsed = new Map<string, Parsed>()
  const rejected = new LRUCache<string, ConfigurationFault>({ max: REJECTED_HEADS_MAX })
  let pendingHeads: PendingHead[] = []
  let adopted: { configuration: AdoptedConfiguration, bytes: Uint8Array, hashes: Set<string>, adoption: Adoption } | undefined

  const isServed = (service: string): boolean => options.services.length === 0 || options.services.includes(service)
  const requiredShards = (head: Head): Array<[string, string]> => {
    const wanted = new Set(options.services.map(shardIdOf))
    return Object.entries(head.shards).filter(([id]) => wanted.size === 0 || wanted.has(id))
  }
  const missingValues = (hashes: readonly string[]): string[] => hashes.filter(hash => !values.has(hash))

  /** Parses a stored value once for all heads that reference it. */
  const parseOnce = <T extends Parsed>(hash: string, parse: (bytes: Uint8Array) => ParseResult<T>): ParseResult<T> => {
    const cached = parsed.get(hash)
    if (cached) return { ok: true, value: cached as T }
    const result = parse(values.get(hash) as Uint8Array)
    if (result.ok) parsed.set(hash, result.value)
    return result
  }

  const reject = (entry: PendingHead, fault: ConfigurationFault): ConfigurationStep => {
    entry.adoption.send({ type: 'fault', fault })
    rejected.set(orderKey(entry.order), fault)
    pendingHeads = pendingHeads.filter(other => other !== entry)
    pruneValues()
    return { step: 'rejected', fault }
  }

  const readShards = (entry: PendingHead): ParseResult<Map<string, string>> => {
    const serviceHashes = new Map<string, string>()
    for (const [id, hash] of requiredShards(entry.head)) {
      const shard = parseOnce(hash, bytes => parseShard(bytes, id))
      if (!shard.ok) return shard
      for (const [name, serviceHash] of Object.entries(shard.value.services)) {
        if (isServed(name)) serviceHashes.set(name, serviceHash)
      }
    }
    return { ok: true, value: serviceHashes }
  }

  const readServices = (hashes: ReadonlyMap<string, string>): ParseResult<Map<string, ServiceConfiguration>> => {
    const services = new Map<string, ServiceConfiguration>()
    for (const [name, hash] of hashes) {
      const service = parseOnce(hash, bytes => parseService(bytes, name))
      if (!service.ok) return service
      services.set(name, service.value)
    }
    const error = checkServices(services.values())
    return error ? { ok: false, error } : { ok: true, value: services }
  }

  const rootHashes = (head: Head): string[] => [head.settingsHash, ...requiredShards(head).map(([, hash]) => hash)]

  const awaitValues = (entry: PendingHead, hashes: readonly string[]): ConfigurationStep => {
    entry.awaited = new Set(hashes)
    return { step: 'fetch', hashes: [...entry.awaited] }
  }

  /** Advances a head as far as the present values allow. */
  const advance = (entry: PendingHead): ConfigurationStep => {
    const roots = rootHashes(entry.head)
    const missingRoots = missingValues(roots)
    if (missingRoots.length > 0) return awaitValues(entry, missingRoots)
    const settings = parseOnce(entry.head.settingsHash, bytes => parseFleetSettings(bytes, options.fleet))
    if (!settings.ok) return reject(entry, settings.error)
    const serviceHashes = readShards(entry)
    if (!serviceHashes.ok) return reject(entry, serviceHashes.error)
    entry.adoption.send({ type: 'roots-complete' })
    const missingServices = missingValues([...serviceHashes.value.values()])
    if (missingServices.length > 0) return awaitValues(entry, missingServices)
    const services = readServices(serviceHashes.value)
    if (!services.ok) return reject(entry, services.error)
    const hashes = new Set([...roots, ...serviceHashes.value.values()])
    return adopt(entry, { order: entry.order, head: entry.head, settings: settings.value, services: services.value }, hashes)
  }

  const adopt = (entry: PendingHead, configuration: AdoptedConfiguration, hashes: Set<string>): ConfigurationStep => {
    adopted?.adoption.send({ type: 'superseded' })
    entry.adoption.send({ type: 'services-complete' })
    adopted = { configuration, bytes: entry.bytes, hashes, adoption: entry.adoption }
    for (const other of pendingHeads) if (other !== entry && compareOrder(other.order, entry.order) <= 0) other.adoption.send({ type: 'superseded' })
    pendingHeads = pendingHeads.filter(other => compareOrder(other.order, entry.order) > 0)
    pruneValues()
    return { step: 'adopted', configuration }
  }

  /** Hashes referenced by a pending head; those of its services only once all shards are present. */
  const referencedHashes = (entry: PendingHead): string[] => {
    const services = missingValues(rootHashes(entry.head)).length === 0 ? readShards(entry) : undefined
    return [...rootHashes(entry.head), ...(services?.ok ? services.value.values() : [])]
  }

  const pruneValues = (): void => {
    const kept = new Set([...(adopted?.hashes ?? []), ...pendingHeads.flatMap(referencedHashes)])
    for (const hash of values.keys()) if (!kept.has(hash)) values.delete(hash)
    for (const hash of parsed.keys()) if (!kept.has(hash)) parsed.delete(hash)
  }

  const addPending = (entry: PendingHead): void => {
    pendingHeads = [...pendingHeads, entry].sort((a, b) => compareOrder(b.order, a.order))
    for (const dropped of pendingHeads.splice(PENDING_HEADS_MAX)) dropped.adoption.send({ type: 'superseded' })
  }

  const offerHead = (candidate: HeadCandidate): ConfigurationStep => {
    const order = { restoreCount: candidate.restoreCount, revision: candidate.revision, headHash: sha256Hex(candidate.bytes) }
    if (adopted) {
      const compared = compareOrder(order, adopted.configuration.order)
      if (compared <= 0) return { step: 'ignored', reason: compared === 0 ? 'same' : 'older' }
    }
    const pending = pendingHeads.find(other => compareOrder(other.order, order) === 0)
    if (pending) return advance(pending)
    const previousFault = rejected.get(orderKey(order))
    if (previousFault) return { step: 'rejected', fault: previousFault }
    const head = parseHead(candidate.bytes, options.fleet, candidate.restoreCount)
    if (!head.ok) {
      rejected.set(orderKey(order), head.error)
      return { step: 'rejected', fault: head.error }
    }
    const entry = { order, head: head.value, bytes: candidate.bytes, adoption: createAdoption(), awaited: new Set<string>() }
    addPending(entry)
    return pendingHeads.includes(entry) ? advance(entry) : { step: 'ignored', reason: 'older' }
  }

  /**
   * Marks a value as present for the heads that await it, newest first, and
   * advances those that await no other. Advancing on each value would read
   * every shard again, which took 3.3 s for 2,200 services.
   */
  const advanceAwaitingHeads = (hash: string): ConfigurationStep => {
    const awaitingHeads = pendingHeads.filter(({ awaited }) => awaited.delete(hash))
    let result: ConfigurationStep = { step: 'ignored', reason: 'same' }
    for (const entry of awaitingHeads) {
      const step: ConfigurationStep = entry.awaited.size > 0 ? { step: 'fetch', hashes: [] } : advance(entry)
      if (step.step === 'adopted') return step
      if (result.step !== 'rejected') result = step
    }
    return result
  }

  const provideValue = (hash: string, bytes: Uint8Array): ConfigurationStep => {
    if (sha256Hex(bytes) !== hash) return { step: 'rejected', fault: { code: 'value-hash-mismatch', message: `value ${hash} does not match its hash` } }
    if (!isPending(hash)) return { step: 'ignored', reason: 'same' }
    values.set(hash, bytes)
    return advanceAwaitingHeads(hash)
  }

  const isPending = (hash: string): boolean => pendingHeads.some(({ awaited }) => awaited.has(hash))

  const pendingHashes = (): string[] => [...new Set(pendingHeads.flatMap(({ awaited }) => [...awaited]))]

  return {
    offerHead,
    provideValue,
    pendingHashes,
    isPending,
    pendingOrders: () => pendingHeads.map(({ order }) => order),
    adopted: () => adopted?.configuration,
    headBytes: () => adopted?.bytes,
    valueBytes: hash => values.get(hash)
  }
}

const orderKey = (order: ConfigurationOrder): string => `${order.restoreCount}/${order.revision}/${order.headHash}`
