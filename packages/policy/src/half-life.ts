/**
 * Exponential decay.
 */

/** Weight of 1 at age 0, halved with each half-life. */
export const halfLifeWeight = (ageMs: number, halfLifeMs: number): number =>
  ageMs <= 0 ? 1 : Math.exp(-Math.LN2 * ageMs / halfLifeMs)
