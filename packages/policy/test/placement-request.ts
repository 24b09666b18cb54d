/**
 * A request to be placed, with plenty of time, for tests of the placement.
 */
import type { PlacementRequest } from '../src/index.js'

export const createPlacementRequest = (nowMs: number, fields: Partial<PlacementRequest> = {}): PlacementRequest => ({
  zone: 'a',
  exclude: new Set(),
  idempotent: true,
  bodyBytes: 0,
  serviceTimeMs: 100,
  objectiveEndMs: nowMs + 400,
  deadlineMs: nowMs + 1_000,
  probed: new Set(),
  canProbe: () => true,
  canWait: true,
  canRefuse: true,
  requiresFreeAndFast: false,
  ...fields
})
