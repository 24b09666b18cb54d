/**
 * Compares path patterns: * matches one segment that is not empty, ** at the
 * end matches any remaining segments, or none.
 */
const splitSegments = (pattern: string): string[] => pattern.split('/')

const coversSegments = (wide: readonly string[], narrow: readonly string[]): boolean => {
  const [first, ...rest] = wide
  if (first === '**') return true
  if (first === undefined || narrow.length === 0) return first === undefined && narrow.length === 0
  const [other, ...others] = narrow
  if (other === '**') return false
  const matches = first === '*' ? other !== '' : first === other
  return matches && coversSegments(rest, others)
}

const overlapsSegments = (a: readonly string[], b: readonly string[]): boolean => {
  const [first, ...rest] = a
  const [other, ...others] = b
  if (first === '**' || other === '**') return true
  if (first === undefined || other === undefined) return first === other
  const matches = first === '*' ? other !== '' : other === '*' ? first !== '' : first === other
  return matches && overlapsSegments(rest, others)
}

/** True when each path that the narrow pattern matches is matched by the wide one. */
export const coversPattern = (wide: string, narrow: string): boolean => coversSegments(splitSegments(wide), splitSegments(narrow))

/** True when some path is matched by both. */
export const overlapsPattern = (a: string, b: string): boolean => overlapsSegments(splitSegments(a), splitSegments(b))

/** True when some path below the prefix matches the pattern. */
export const reachesPattern = (prefix: string, pattern: string): boolean =>
  overlapsPattern(`${prefix === '/' ? '' : prefix.replace(/\/$/, '')}/**`, pattern)
