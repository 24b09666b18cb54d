/**
 * Seeded random numbers, so that a run can be repeated from its seed.
 */
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import type { Random } from './types.js'

const INT_RANGE = 0x100000000
/** The first values of xoroshiro128+ follow the seed: without this, the very first one is close to 1 for each positive seed. */
const DISCARDED_VALUES = 32

/** @param seed any 32-bit integer; equal seeds give equal sequences */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  for (let index = 0; index < DISCARDED_VALUES; index++) generator.unsafeNext()
  return {
    next: () => (generator.unsafeNext() >>> 0) / INT_RANGE,
    int: below => unsafeUniformIntDistribution(0, below - 1, generator)
  }
}

/** Shuffles a copy of the items (Fisher and Yates). */
export const shuffle = <T>(items: readonly T[], random: Random): T[] => {
  const shuffled = [...items]
  for (let last = shuffled.length - 1; last > 0; last--) {
    const other = random.int(last + 1)
    const item = shuffled[last] as T
    shuffled[last] = shuffled[other] as T
    shuffled[other] = item
  }
  return shuffled
}
