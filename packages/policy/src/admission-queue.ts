/**
 * Queue of waiting requests: heaviest weight first, then earliest deadline. A
 * sorted array with the next request at its end, so the position of a new
 * request, and with it the expected wait, is found by binary search. A heap by
 * deadline finds the requests that run out of time.
 */
import TinyQueue from 'tinyqueue'
import type { AdmissionRequest } from './types.js'

export type QueuedRequest = { request: AdmissionRequest, order: number, waiting: boolean }

/** Positive when a is served after b. */
const servedAfter = (a: QueuedRequest, b: QueuedRequest): number =>
  b.request.weight - a.request.weight || a.request.deadlineMs - b.request.deadlineMs || a.order - b.order

/** First index from which on all entries are served no later than the given one. */
const positionOf = (entries: readonly QueuedRequest[], entry: QueuedRequest): number => {
  let low = 0
  let high = entries.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (servedAfter(entries[middle] as QueuedRequest, entry) > 0) low = middle + 1
    else high = middle
  }
  return low
}

export const createAdmissionQueue = () => {
  const entries: QueuedRequest[] = []
  const byId = new Map<string, QueuedRequest>()
  // Entries that left the queue stay in the heap until they come up.
  const byDeadline = new TinyQueue<QueuedRequest>([], (a, b) => a.request.deadlineMs - b.request.deadlineMs)
  let order = 0

  const forget = (entry: QueuedRequest | undefined): QueuedRequest | undefined => {
    if (!entry) return undefined
    byId.delete(entry.request.id)
    entry.waiting = false
    return entry
  }

  const mostUrgent = (): QueuedRequest | undefined => {
    while (byDeadline.peek()?.waiting === false) byDeadline.pop()
    return byDeadline.peek()
  }

  const remove = (id: string): boolean => {
    const entry = byId.get(id)
    if (!entry) return false
    entries.splice(positionOf(entries, entry), 1)
    forget(entry)
    return true
  }

  return {
    size: () => entries.length,
    /** Where a request would stand, without inserting it. */
    place: (request: AdmissionRequest): { entry: QueuedRequest, ahead: number } => {
      const entry = { request, order: order++, waiting: true }
      return { entry, ahead: entries.length - positionOf(entries, entry) }
    },
    insert: (entry: QueuedRequest): void => {
      entries.splice(positionOf(entries, entry), 0, entry)
      byId.set(entry.request.id, entry)
      byDeadline.push(entry)
    },
    takeFirst: (): QueuedRequest | undefined => forget(entries.pop()),
    takeLast: (): QueuedRequest | undefined => forget(entries.shift()),
    remove,
    /** Takes out the request with the earliest deadline if that is no later than the given time. */
    takeDue: (untilMs: number): QueuedRequest | undefined => {
      const entry = mostUrgent()
      if (!entry || entry.request.deadlineMs > untilMs) return undefined
      remove(entry.request.id)
      return entry
    }
  }
}
