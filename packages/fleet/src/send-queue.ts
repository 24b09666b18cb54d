/**
 * Queue of items that are piggybacked on messages a bounded number of times.
 * Items that were sent least go first; an item replaces the earlier one of its
 * key and is counted anew. A full queue drops the item that waits longest.
 */
export type SendQueue<T> = {
  add: (key: string, item: T) => void
  /** Items in the order in which they should be sent. */
  ordered: () => Array<{ key: string, item: T }>
  /** Counts a send; the item leaves the queue when it reached the limit. */
  noteSent: (key: string, limit: number) => void
  clear: () => void
  size: () => number
}

export const createSendQueue = <T>(sizeMax: number): SendQueue<T> => {
  const entries = new Map<string, { item: T, sends: number }>()
  return {
    add: (key, item) => {
      entries.delete(key)
      entries.set(key, { item, sends: 0 })
      if (entries.size > sizeMax) entries.delete(entries.keys().next().value as string)
    },
    ordered: () => [...entries]
      .sort(([, a], [, b]) => a.sends - b.sends)
      .map(([key, { item }]) => ({ key, item })),
    noteSent: (key, limit) => {
      const entry = entries.get(key)
      if (entry && ++entry.sends >= limit) entries.delete(key)
    },
    clear: () => entries.clear(),
    size: () => entries.size
  }
}
