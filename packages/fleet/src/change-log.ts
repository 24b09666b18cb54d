/**
 * The latest published changes, kept for peers that follow this node instead
 * of the store. A peer that asks for changes from before the log gets the
 * whole state.
 */
import type { PublishedChange } from './types.js'

export type ChangeLog = {
  /** Changes up to a revision; what comes from another source again is left out, since it would undo newer changes. */
  add: (revision: number, changes: readonly PublishedChange[]) => void
  /** Starts anew at a revision, after the whole state was read. */
  restart: (revision: number) => void
  /** Changes after a revision; undefined when the log does not go back so far. */
  since: (revision: number) => PublishedChange[] | undefined
}

type Entry = { revision: number, changes: readonly PublishedChange[] }

/** @param entriesMax most reads whose changes are kept */
export const createChangeLog = (entriesMax: number): ChangeLog => {
  let entries: Entry[] = []
  let baseRevision = Infinity
  let newestRevision = -Infinity
  return {
    add: (revision, changes) => {
      if (revision <= newestRevision) return
      newestRevision = revision
      entries.push({ revision, changes })
      const dropped = entries.length > entriesMax ? entries.shift() : undefined
      if (dropped) baseRevision = dropped.revision
    },
    restart: revision => {
      entries = []
      baseRevision = revision
      newestRevision = revision
    },
    since: revision => revision < baseRevision
      ? undefined
      : entries.filter(entry => entry.revision > revision).flatMap(entry => entry.changes)
  }
}
