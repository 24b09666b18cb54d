/**
 * The latest published changes, kept for peers that read changes from this node
 * instead of the store. A peer that requests changes from before the start of the
 * log receives the full state.
 */
import type { PublishedChange } from './types.js'

export type ChangeLog = {
  /** Adds the changes up to a revision. Revisions already received from another source are ignored, because they would undo newer changes. */
  add: (revision: number, changes: readonly PublishedChange[]) => void
  /** Clears the log and starts it at a revision, after the full state was read. */
  restart: (revision: number) => void
  /** Returns the changes after a revision, or undefined when the log starts later. */
  since: (revision: number) => PublishedChange[] | undefined
}

type Entry = { revision: number, changes: readonly PublishedChange[] }

/** @param entriesMax maximum number of reads whose changes are kept */
export const createChangeLog = (entriesMax: number): ChangeLog => {
  let entries: Entry[] = []
  let startRevision = Infinity
  let newestRevision = -Infinity
  return {
    add: (revision, changes) => {
      if (revision <= newestRevision) return
      newestRevision = revision
      entries.push({ revision, changes })
      const dropped = entries.length > entriesMax ? entries.shift() : undefined
      if (dropped) startRevision = dropped.revision
    },
    restart: revision => {
      entries = []
      startRevision = revision
      newestRevision = revision
    },
    since: revision => revision < startRevision
      ? undefined
      : entries.filter(entry => entry.revision > revision).flatMap(entry => entry.changes)
  }
}
