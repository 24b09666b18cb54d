/**
 * The position of the store at the last change of the evacuated zones, as nodes
 * announce it by gossip with their configuration. On a platform with a store, the
 * hash of the announced order is unused, and nodes of earlier releases ignore it.
 * A node that is behind the position pulls the state, so an evacuation is in force
 * in time also when the nodes that it follows have lost the store without a sign.
 */
import type { StorePosition } from './types.js'

const NUMBER_DIGITS = 16
const HASH_DIGITS = 64

const toHex = (value: number): string => value.toString(16).padStart(NUMBER_DIGITS, '0')

/** @param position undefined without a change so far */
export const toAnnouncedHash = (position: StorePosition | undefined): string =>
  (position ? toHex(position.restoreCount) + toHex(position.revision) : '').padEnd(HASH_DIGITS, '0')

export const fromAnnouncedHash = (hash: string): StorePosition => ({
  restoreCount: Number.parseInt(hash.slice(0, NUMBER_DIGITS), 16),
  revision: Number.parseInt(hash.slice(NUMBER_DIGITS, 2 * NUMBER_DIGITS), 16)
})
