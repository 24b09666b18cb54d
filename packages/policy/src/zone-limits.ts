/**
 * Restrictions of requests to the targets of some zones: zones that an operator
 * evacuates, and the allowed zones of a route. A target that they exclude is not
 * used as a last choice either.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import type { TargetState } from './types.js'

export type ZoneRestriction = {
  /** Zones whose targets the request may reach; absent: all. */
  allowedZones?: ReadonlySet<string>
}

export const isZoneAllowed = ({ target }: { target: Pick<ListedTarget, 'zone'> }, { allowedZones }: ZoneRestriction): boolean =>
  allowedZones === undefined || allowedZones.has(target.zone)

/**
 * Why the zones leave no target for a request, however many targets fail.
 * @returns undefined if a target in use is in a zone that the request may reach
 */
export const zoneObstacle = (states: Iterable<TargetState>, evacuatedZones: ReadonlySet<string> | undefined, restriction: ZoneRestriction): string | undefined => {
  const inUse = [...states].filter(({ health }) => health !== 'gone' && health !== 'draining')
  const allowed = inUse.filter(state => isZoneAllowed(state, restriction))
  if (allowed.length === 0) return restriction.allowedZones && 'no target is in an allowed region'
  return allowed.every(({ target }) => evacuatedZones?.has(target.zone)) ? 'all targets are in evacuated zones' : undefined
}
