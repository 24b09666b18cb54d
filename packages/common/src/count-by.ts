/**
 * Counts items by key.
 */

/** @returns number of items for each key that occurs */
export const countBy = <T>(items: Iterable<T>, keyOf: (item: T) => string): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const item of items) {
    const key = keyOf(item)
    counts[key] = (counts[key] ?? 0) + 1
  }
  return counts
}
