/**
 * Order of positions in the history of the platform's store: by restore count,
 * then by revision.
 */
import type { StorePosition } from './types.js'

/** Position of a node that has read nothing. */
export const NO_STORE_POSITION: StorePosition = { restoreCount: 0, revision: 0 }

/** Positive when a is later than b. */
export const compareStorePositions = (a: StorePosition, b: StorePosition): number =>
  a.restoreCount - b.restoreCount || a.revision - b.revision

export const laterStorePosition = (a: StorePosition, b: StorePosition): StorePosition => compareStorePositions(a, b) >= 0 ? a : b
