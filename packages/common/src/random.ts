/**
 * Seeded random numbers: a run can be repeated from its seed.
 */
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import type { Random } from './types.js'

const UINT32_RANGE = 0x100000000
/** The first values of xoroshiro128+ are correlated with the seed: the very first one is close to 1 for each positive seed. */
const DISCARDED_VALUE_COUNT = 32

/** @param seed any 32-bit integer; equal seeds give equal sequences */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  for (let index = 0; index < DISCARDED_VALUE_COUNT; index++) generator.unsafeNext()
  return {
    next: () => (generator.unsafeNext() >>> 0) / UINT32_RANGE,
    int: below => unsafeUniformIntDistribution(0, below - 1, generator)
  }
}

/** Returns a shuffled copy of the items (Fisher-Yates). */
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
