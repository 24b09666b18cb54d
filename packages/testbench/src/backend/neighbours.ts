/**
 * Noisy neighbours: quiet and busy phases of exponential length that follow
 * each other within milliseconds, from a seed.
 */
import type { Random } from '@wisteriavalve/common'
import type { NeighbourOptions } from './types.js'

export const exponential = (meanMs: number, random: Random): number => -Math.log(1 - random.next()) * meanMs

/** Runs until the returned function is called. */
export const startNeighbours = (options: NeighbourOptions, random: Random, setSlowdown: (slowdown: number) => void): () => void => {
  let timer: NodeJS.Timeout
  const change = (busy: boolean): void => {
    setSlowdown(busy ? options.slowdown : 1)
    timer = setTimeout(() => change(!busy), exponential(busy ? options.meanBusyMs : options.meanQuietMs, random))
  }
  change(false)
  return () => clearTimeout(timer)
}
