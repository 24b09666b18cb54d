/**
 * Requests that would reach another service or kind than meant.
 */
import { formatPath } from '../paths.js'
import { coversPattern, overlapsPattern, reachesPattern } from '../path-patterns.js'
import type { CheckReport, CrossCheck, KindView, ServiceView } from './types.js'

/** Name under which nodes count requests that match no kind. */
const RESERVED_KIND_NAME = 'unknown'

/** The prefix itself and those around it, the longest first: /a/b, /a, /. */
const prefixesAround = (prefix: string): string[] => {
  const parts = prefix.split('/').filter(part => part !== '')
  return [...parts.map((_, index) => `/${parts.slice(0, parts.length - index).join('/')}`), '/']
}

const checkNestedPrefixes = (services: readonly ServiceView[], report: CheckReport): void => {
  const byPrefix = new Map<string, ServiceView>()
  for (const service of services) {
    const own = service.pathPrefix && prefixesAround(service.pathPrefix)[0]
    if (own !== undefined) byPrefix.set(own, byPrefix.get(own) ?? service)
  }
  for (const { path, pathPrefix } of services) {
    const outer = pathPrefix === undefined ? undefined : prefixesAround(pathPrefix).slice(1).map(prefix => byPrefix.get(prefix)).find(Boolean)
    if (outer) {
      report('warning', [...path, 'pathPrefix'],
        `${pathPrefix} lies below ${outer.pathPrefix} of ${formatPath(outer.path)}; requests below both go to the longer prefix`)
    }
  }
}

const checkReachable = ({ kinds, pathPrefix, hosts, path: servicePath }: ServiceView, report: CheckReport): void => {
  if (pathPrefix === undefined || hosts.length > 0) return
  for (const { path, pattern } of kinds) {
    if (pattern !== undefined && !reachesPattern(pathPrefix, pattern)) {
      report('fault', [...path, 'path'],
        `${pattern} lies outside of the path prefix ${pathPrefix} of ${formatPath(servicePath)}, so no request can match it`)
    }
  }
}

const compareKinds = (earlier: KindView, later: KindView, report: CheckReport): void => {
  if (!earlier.methods || !later.methods || earlier.pattern === undefined || later.pattern === undefined) return
  const shared = later.methods.filter(method => earlier.methods?.includes(method))
  if (shared.length === 0 || !overlapsPattern(earlier.pattern, later.pattern)) return
  const place = [...later.path, 'path']
  const name = earlier.name ?? formatPath(earlier.path)
  if (coversPattern(earlier.pattern, later.pattern)) {
    const all = shared.length === later.methods.length
    report(all ? 'fault' : 'warning', place,
      `${all ? 'no request' : `no ${shared.join(' or ')} request`} can match ${later.pattern}, since the earlier kind ${name} takes all of ${earlier.pattern}; put the narrower kind first`)
  } else if (!coversPattern(later.pattern, earlier.pattern)) {
    report('warning', place,
      `some ${shared.join(' and ')} requests match ${later.pattern} and also ${earlier.pattern} of the earlier kind ${name}, which takes them`)
  }
}

const checkShadowed = ({ kinds }: ServiceView, report: CheckReport): void => {
  kinds.forEach((later, index) => kinds.slice(0, index).forEach(earlier => compareKinds(earlier, later, report)))
}

export const checkRouting: CrossCheck = ({ services }, report) => {
  checkNestedPrefixes(services, report)
  for (const service of services) {
    checkReachable(service, report)
    checkShadowed(service, report)
    for (const { path, name } of service.kinds) {
      if (name === RESERVED_KIND_NAME) report('fault', [...path, 'name'], `${name} is reserved for requests that match no kind`)
    }
  }
}
