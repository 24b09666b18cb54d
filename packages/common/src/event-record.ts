/**
 * Ring buffer of events, kept in memory for `wisteriavalve explain` and the
 * report. When it is full, each new entry replaces the oldest one.
 */
import type { EventEntry } from '@wisteriavalve/schema'

export type EventRecord = {
  add: (entry: EventEntry) => void
  /** Entries that match, oldest first. */
  find: (matches: (entry: EventEntry) => boolean) => EventEntry[]
  size: () => number
}

/** @param capacity maximum number of entries */
export const createEventRecord = (capacity: number): EventRecord => {
  const entries: EventEntry[] = []
  let oldest = 0

  const add = (entry: EventEntry): void => {
    if (entries.length < capacity) {
      entries.push(entry)
      return
    }
    entries[oldest] = entry
    oldest = (oldest + 1) % capacity
  }

  const find = (matches: (entry: EventEntry) => boolean): EventEntry[] =>
    [...entries.slice(oldest), ...entries.slice(0, oldest)].filter(matches)

  return { add, find, size: () => entries.length }
}
