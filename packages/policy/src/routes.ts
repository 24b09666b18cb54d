/**
 * Finds the route of a request by host and longest path prefix, and splits the
 * requests of a route between its services by weight.
 */
import type { Random, Route } from '@wisteriavalve/common'
import type { ServiceConfiguration } from '@wisteriavalve/schema'
import { hostOf, pathOf } from './classification.js'
import type { Classified, Destination, RequestHead, ServiceIndex } from './types.js'

type TrafficSplitter = { next: () => string | undefined }

/**
 * Smooth weighted round-robin: over any span of requests each service gets its
 * share to within one request, whereas random selection only does so on average.
 * The random start prevents the nodes of a fleet from sending in lockstep.
 */
const createTrafficSplitter = ({ destinations }: Route, random: Random): TrafficSplitter => {
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0)
  const shares = destinations.map(destination => ({ ...destination, credit: random.next() * destination.weight }))
  return {
    next: () => {
      let best = shares[0]
      for (const share of shares) {
        share.credit += share.weight
        if (best && share.credit > best.credit) best = share
      }
      if (best) best.credit -= total
      return best?.service
    }
  }
}

type IndexedRoute = { route: Route, splitter: TrafficSplitter }

export const createRouteIndex = (
  routes: readonly Route[], services: ReadonlyMap<string, ServiceConfiguration>, random: Random
): ServiceIndex => {
  const byHost = new Map<string, IndexedRoute[]>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const list = byHost.get(host) ?? []
    list.push({ route, splitter: createTrafficSplitter(route, random) })
    byHost.set(host, list)
  }
  for (const list of byHost.values()) list.sort((a, b) => b.route.pathPrefix.length - a.route.pathPrefix.length)

  const findRoute = ({ host, path }: RequestHead): IndexedRoute | undefined => {
    const plainPath = pathOf(path)
    return byHost.get(hostOf(host ?? ''))?.find(({ route }) => plainPath.startsWith(route.pathPrefix))
  }

  const classify: ServiceIndex['classify'] = (head): Classified => {
    const found = findRoute(head)
    const service = found && services.get(found.splitter.next() ?? '')
    if (!service) return { ok: false, error: 'service-unknown' }
    const { kind, allowedZones } = found.route
    return { ok: true, service, kind, isKnown: true, ...(allowedZones && { allowedZones }) }
  }

  const destinations: ServiceIndex['destinations'] = (head): Destination[] => {
    const route = findRoute(head)?.route
    if (!route) return []
    const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0)
    return route.destinations.flatMap(({ service: name, weight }) => {
      const service = services.get(name)
      return service ? [{ service, kind: route.kind, share: weight / total, allowedZones: route.allowedZones }] : []
    })
  }

  return { classify, destinations }
}
