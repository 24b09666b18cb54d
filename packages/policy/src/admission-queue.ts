/**
 * Queue of waiting requests: heaviest weight first, then earliest deadline. It is
 * a sorted array with the next request at the end. Binary search finds the
 * position of a new request, from which its wait is estimated. A heap by deadline
 * finds the requests that are about to miss their deadline.
 */
import TinyQueue from 'tinyqueue'
import type { AdmissionRequest } from './types.js'

export type QueuedRequest = { request: AdmissionRequest, order: number, isQueued: boolean }

/** Comparator; positive when a is served after b. */
const compareServingOrder = (a: QueuedRequest, b: QueuedRequest): number =>
  b.request.weight - a.request.weight || a.request.deadlineMs - b.request.deadlineMs || a.order - b.order

/** First index from which all entries are served no later than the given one. */
const positionOf = (entries: readonly QueuedRequest[], entry: QueuedRequest): number => {
  let low = 0
  let high = entries.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (compareServingOrder(entries[middle] as QueuedRequest, entry) > 0) low = middle + 1
    else high = middle
  }
  return low
}

export const createAdmissionQueue = () => {
  const entries: QueuedRequest[] = []
  const byId = new Map<string, QueuedRequest>()
  // Entries that left the queue stay in the heap until they reach its top.
  const byDeadline = new TinyQueue<QueuedRequest>([], (a, b) => a.request.deadlineMs - b.request.deadlineMs)
  let order = 0

  const markRemoved = (entry: QueuedRequest | undefined): QueuedRequest | undefined => {
    if (!entry) return undefined
    byId.delete(entry.request.id)
    entry.isQueued = false
    return entry
  }

  const earliestDeadline = (): QueuedRequest | undefined => {
    while (byDeadline.peek()?.isQueued === false) byDeadline.pop()
    return byDeadline.peek()
  }

  const remove = (id: string): boolean => {
    const entry = byId.get(id)
    if (!entry) return false
    entries.splice(positionOf(entries, entry), 1)
    markRemoved(entry)
    return true
  }

  return {
    size: () => entries.length,
    /** Position that a request would get, without inserting it. */
    previewInsert: (request: AdmissionRequest): { entry: QueuedRequest, aheadCount: number } => {
      const entry = { request, order: order++, isQueued: true }
      return { entry, aheadCount: entries.length - positionOf(entries, entry) }
    },
    insert: (entry: QueuedRequest): void => {
      entries.splice(positionOf(entries, entry), 0, entry)
      byId.set(entry.request.id, entry)
      byDeadline.push(entry)
    },
    takeFirst: (): QueuedRequest | undefined => markRemoved(entries.pop()),
    takeLast: (): QueuedRequest | undefined => markRemoved(entries.shift()),
    remove,
    /** Removes and returns the request with the earliest deadline if that is no later than the given time. */
    takeDue: (untilMs: number): QueuedRequest | undefined => {
      const entry = earliestDeadline()
      if (!entry || entry.request.deadlineMs > untilMs) return undefined
      remove(entry.request.id)
      return entry
    }
  }
}
