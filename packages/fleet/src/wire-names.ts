/**
 * Names in messages between nodes. The platform allows names of services, targets
 * and zones that are longer than what a datagram has room for, and than what nodes
 * of earlier releases accept. A longer name is sent as its beginning and a hash.
 * Nodes know the names of the services and targets themselves, so a receiver finds
 * the whole name among those.
 */
import { createHash } from 'node:crypto'
import { LRUCache } from 'lru-cache'

/** Longest names in messages, in bytes of UTF-8. Nodes of earlier releases reject a datagram with a longer one. */
export const ZONE_BYTES_MAX = 64
export const SERVICE_BYTES_MAX = 64
export const TARGET_ID_BYTES_MAX = 128

/** Part of a shortened name that is kept, so that people recognise it in logs. */
const BEGINNING_BYTES_MAX = 16
const SEPARATOR = '~'
const BYTES_PER_UTF16_UNIT_MAX = 3

const beginningOf = (name: string): string => {
  let beginning = ''
  for (const character of name.toWellFormed()) {
    if (Buffer.byteLength(beginning + character) > BEGINNING_BYTES_MAX) break
    beginning += character
  }
  return beginning
}

/** Text that is no valid Unicode does not survive its encoding. JSON escapes it, so its hash is that of no other name. */
const shorten = (name: string): string =>
  `${beginningOf(name)}${SEPARATOR}${createHash('sha256').update(JSON.stringify(name)).digest('base64url')}`

const isShort = (name: string, bytesMax: number): boolean =>
  name.length * BYTES_PER_UTF16_UNIT_MAX <= bytesMax || Buffer.byteLength(name) <= bytesMax

/** Name as it is sent in messages. A name that was shortened before stays as it is. */
export const toWireName = (name: string, bytesMax: number): string =>
  isShort(name, bytesMax) && name.isWellFormed() ? name : shorten(name)

export type WireNames = {
  /** Remembers a name that a message may hold in its short form. */
  learn: (name: string, bytesMax: number) => void
  /** @returns the whole name, or the given one if no known name has this short form */
  resolve: (wireName: string) => string
}

/** Targets of the past are remembered, because notes on them are still on their way. */
const NAMES_MAX = 20_000

export const createWireNames = (): WireNames => {
  const wholeNames = new LRUCache<string, string>({ max: NAMES_MAX })
  return {
    learn: (name, bytesMax) => {
      const wireName = toWireName(name, bytesMax)
      if (wireName !== name) wholeNames.set(wireName, name)
    },
    resolve: wireName => wholeNames.get(wireName) ?? wireName
  }
}
