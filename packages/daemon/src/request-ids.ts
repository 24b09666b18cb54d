/**
 * Generates ids for requests without one: a random prefix per process and a
 * counter, which is cheaper than a random id for each request.
 */
import { randomBytes } from 'node:crypto'

export const createRequestIds = (): () => string => {
  const prefix = randomBytes(8).toString('hex')
  let count = 0
  return () => `${prefix}-${(++count).toString(36)}`
}
