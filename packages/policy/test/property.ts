/**
 * Checks a property with a fixed seed, which is logged. PROPERTY_SEED overrides the seed.
 */
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

const SEED = Number(process.env.PROPERTY_SEED ?? 20260612)

export const assertProperty = <T>(t: ExecutionContext, property: fc.IProperty<T>, numRuns = 300): void => {
  t.log(`seed ${SEED}`)
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns }))
}
