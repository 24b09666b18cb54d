/**
 * Finds prefixes and patterns that route requests to an unintended service or kind.
 */
import { formatPath } from '../paths.js'
import { coversPattern, overlapsPattern, reachesPattern } from '../path-patterns.js'
import type { ReportFinding, CrossCheck, KindView, ServiceView } from './types.js'

/** Name under which nodes count requests that match no kind. */
const RESERVED_KIND_NAME = 'unknown'

/** The prefix itself and its parent prefixes, the longest first: /a/b, /a, /. */
const prefixesAround = (prefix: string): string[] => {
  const parts = prefix.split('/').filter(part => part !== '')
  return [...parts.map((_, index) => `/${parts.slice(0, parts.length - index).join('/')}`), '/']
}

const checkNestedPrefixes = (services: readonly ServiceView[], report: ReportFinding): void => {
  const byPrefix = new Map<string, ServiceView>()
  for (const service of services) {
    const normalized = service.pathPrefix && prefixesAround(service.pathPrefix)[0]
    if (normalized !== undefined) byPrefix.set(normalized, byPrefix.get(normalized) ?? service)
  }
  for (const { path, pathPrefix } of services) {
    const outer = pathPrefix === undefined ? undefined : prefixesAround(pathPrefix).slice(1).map(prefix => byPrefix.get(prefix)).find(Boolean)
    if (outer) {
      report('warning', [...path, 'pathPrefix'],
        `${pathPrefix} lies below ${outer.pathPrefix} of ${formatPath(outer.path)}; requests below both go to the longer prefix`)
    }
  }
}

const checkReachable = ({ kinds, pathPrefix, hosts, path: servicePath }: ServiceView, report: ReportFinding): void => {
  if (pathPrefix === undefined || hosts.length > 0) return
  for (const { path, pattern } of kinds) {
    if (pattern !== undefined && !reachesPattern(pathPrefix, pattern)) {
      report('fault', [...path, 'path'],
        `${pattern} lies outside the path prefix ${pathPrefix} of ${formatPath(servicePath)}, so no request can match it`)
    }
  }
}

const compareKinds = (earlier: KindView, later: KindView, report: ReportFinding): void => {
  if (!earlier.methods || !later.methods || earlier.pattern === undefined || later.pattern === undefined) return
  const shared = later.methods.filter(method => earlier.methods?.includes(method))
  if (shared.length === 0 || !overlapsPattern(earlier.pattern, later.pattern)) return
  const answerPath = [...later.path, 'path']
  const name = earlier.name ?? formatPath(earlier.path)
  if (coversPattern(earlier.pattern, later.pattern)) {
    const areAllShared = shared.length === later.methods.length
    report(areAllShared ? 'fault' : 'warning', answerPath,
      `${areAllShared ? 'no request' : `no ${shared.join(' or ')} request`} can match ${later.pattern}, since the earlier kind ${name} takes all of ${earlier.pattern}; put the narrower kind first`)
  } else if (!coversPattern(later.pattern, earlier.pattern)) {
    report('warning', answerPath,
      `some ${shared.join(' and ')} requests match ${later.pattern} and also ${earlier.pattern} of the earlier kind ${name}, to which they belong`)
  }
}

const checkShadowed = ({ kinds }: ServiceView, report: ReportFinding): void => {
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
