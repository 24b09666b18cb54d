/**
 * Random sampling without replacement.
 */
import { shuffle, type Random } from '@wisteriavalve/common'

/** Returns up to count distinct items in random order, without shuffling long lists. */
export const pickRandom = <T>(items: readonly T[], count: number, random: Random): T[] => {
  if (items.length <= count) return shuffle(items, random)
  const picked = new Set<number>()
  while (picked.size < count) picked.add(random.int(items.length))
  return [...picked].map(index => items[index] as T)
}
