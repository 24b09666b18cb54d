/**
 * The latest published changes, kept for peers that read changes from this node
 * instead of the store. A peer that requests changes from before the start of the
 * log, or from before the last restore of the store, receives the full state.
 */
import { compareStorePositions, NO_STORE_POSITION } from './store-position.js'
import type { PublishedChange, StorePosition } from './types.js'

export type ChangeLog = {
  /** Adds the changes up to a position. Positions already received from another source are ignored, because they would undo newer changes. */
  add: (position: StorePosition, changes: readonly PublishedChange[]) => void
  /** Clears the log and starts it at a position, after the full state was read. */
  restart: (position: StorePosition) => void
  /** Returns the changes after a position, or undefined when the log starts later or belongs to another restore count. */
  since: (position: StorePosition) => PublishedChange[] | undefined
}

type Entry = { position: StorePosition, changes: readonly PublishedChange[] }

/** @param entriesMax maximum number of reads whose changes are kept */
export const createChangeLog = (entriesMax: number): ChangeLog => {
  let entries: Entry[] = []
  let startPosition: StorePosition | undefined
  let newestPosition = NO_STORE_POSITION
  return {
    add: (position, changes) => {
      if (compareStorePositions(position, newestPosition) <= 0) return
      newestPosition = position
      entries.push({ position, changes })
      const dropped = entries.length > entriesMax ? entries.shift() : undefined
      if (dropped) startPosition = dropped.position
    },
    restart: position => {
      entries = []
      startPosition = position
      newestPosition = position
    },
    since: position => startPosition?.restoreCount !== position.restoreCount || compareStorePositions(position, startPosition) < 0
      ? undefined
      : entries.filter(entry => compareStorePositions(entry.position, position) > 0).flatMap(entry => entry.changes)
  }
}
