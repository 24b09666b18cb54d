/**
 * Noisy neighbours: alternating quiet and busy phases with exponentially
 * distributed lengths, drawn from a seeded random source.
 */
import type { Random } from '@wisteriavalve/common'
import type { NeighbourOptions } from './types.js'

export const drawExponentialMs = (meanMs: number, random: Random): number => -Math.log(1 - random.next()) * meanMs

/** Alternates the phases until the returned function is called. */
export const startNeighbours = (options: NeighbourOptions, random: Random, setSlowdown: (slowdown: number) => void): () => void => {
  let timer: NodeJS.Timeout
  const enterPhase = (isBusy: boolean): void => {
    setSlowdown(isBusy ? options.slowdown : 1)
    timer = setTimeout(() => enterPhase(!isBusy), drawExponentialMs(isBusy ? options.meanBusyMs : options.meanQuietMs, random))
  }
  enterPhase(false)
  return () => clearTimeout(timer)
}
