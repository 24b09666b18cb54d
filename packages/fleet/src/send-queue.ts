/**
 * Queue of items that are piggybacked on messages a bounded number of times. The
 * least often sent items go first. A new item replaces the earlier one with the
 * same key and restarts its count. A full queue drops the oldest item.
 */
export type SendQueue<T> = {
  add: (key: string, item: T) => void
  /** Items in the order in which they should be sent. */
  ordered: () => Array<{ key: string, item: T }>
  /** Counts a send and removes the item when it reached the limit. */
  recordSend: (key: string, limit: number) => void
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
    recordSend: (key, limit) => {
      const entry = entries.get(key)
      if (entry && ++entry.sends >= limit) entries.delete(key)
    },
    clear: () => entries.clear(),
    size: () => entries.size
  }
}
