/**
 * Keys and hashes of the configuration values, used both for writing and for
 * reading them. docs/interfaces.md specifies them.
 */
import { createHash } from 'node:crypto'
import { hash32 } from './rendezvous.js'

/** Shards of a configuration. With 2,200 services a shard lists about 35 of them. */
export const SHARD_COUNT = 64

/** SHA-256 in lower-case hexadecimal. */
export const sha256Hex = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('hex')

/** Id of the shard that a service belongs to: two decimal digits, 00 to 63. */
export const shardIdOf = (service: string): string => String(hash32(service) % SHARD_COUNT).padStart(2, '0')

export const headKey = (fleet: string): string => `wisteriavalve/${fleet}/head`

export const valueKey = (fleet: string, hash: string): string => `wisteriavalve/${fleet}/value/${hash}`
