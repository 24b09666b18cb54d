/**
 * Translates the regions of routes to zones, by the table of zones and their
 * regions in the settings of this node. Targets and nodes state only their zone.
 */
import type { PublishedRoute, Route } from '@wisteriavalve/common'
import { hostOf } from '@wisteriavalve/policy'

/** Region of each zone. */
export type ZoneRegions = Readonly<Record<string, string>>

const zonesOf = (regions: readonly string[], zoneRegions: ZoneRegions): ReadonlySet<string> =>
  new Set(Object.entries(zoneRegions).flatMap(([zone, region]) => regions.includes(region) ? zone : []))

/** Adds the allowed zones to each route with allowed regions. A region without zones allows none. */
export const withAllowedZones = (routes: readonly PublishedRoute[], zoneRegions: ZoneRegions): Route[] =>
  routes.map(route => route.allowedRegions ? { ...route, allowedZones: zonesOf(route.allowedRegions, zoneRegions) } : route)

/** Regions of routes that no zone is in. */
export const findUnknownRegions = (routes: readonly PublishedRoute[], zoneRegions: ZoneRegions): Array<{ route: string, region: string }> => {
  const known = new Set(Object.values(zoneRegions))
  return routes.flatMap(({ name, allowedRegions = [] }) => allowedRegions.filter(region => !known.has(region)).map(region => ({ route: name, region })))
}

/** What a caller that asks for nodes states of itself and of the host that it is about to call. */
export type EntryCaller = { zone?: string, region?: string, host?: string }

const intersect = (sets: ReadonlyArray<ReadonlySet<string>>): string[] => [...sets[0] ?? []].filter(zone => sets.every(set => set.has(zone)))

/**
 * Zones whose nodes may receive the requests of a caller to a host, the preferred
 * ones first. The routes of one host can allow different regions, and the caller
 * does not state the path; the first choice therefore suits all its routes.
 * @returns an empty list if no route of the host has allowed regions
 */
export const entryZones = (routes: readonly Route[], zoneRegions: ZoneRegions, { zone = '', region = zoneRegions[zone], host = '' }: EntryCaller): Array<ReadonlySet<string>> => {
  const name = hostOf(host)
  const allowed = routes.flatMap(route => route.allowedZones && route.host.toLowerCase() === name ? route.allowedZones : [])
  if (allowed.length === 0) return []
  const ownZones = region === undefined ? [] : [...zonesOf([region], zoneRegions)]
  return [intersect(allowed), allowed.flatMap(zones => [...zones])].map(zones => new Set([...zones, ...ownZones]))
}
