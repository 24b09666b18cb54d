/**
 * Finds the service and the kind of a request. Hosts are looked up in a map;
 * path prefixes are tried from longest to shortest. Kinds are tried in the order
 * of the configuration, and the first match is used.
 */
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import type { Classified, Destination, ServiceIndex, RequestHead } from './types.js'

/** Body limit of an unknown kind. */
const UNKNOWN_BODY_BYTES_MAX = 1024 * 1024

const isPathInPrefix = (path: string, prefix: string): boolean =>
  prefix === '/' || path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)

/** Path without the query and fragment. */
export const pathOf = (target: string): string => {
  const end = target.search(/[?#]/)
  return end < 0 ? target : target.slice(0, end)
}
/** Host without the port, in lower case. */
export const hostOf = (host: string): string => host.replace(/:\d+$/, '').toLowerCase()

/** In a pattern, * matches one non-empty segment, and a final ** matches any remaining path, including none. */
export const matchesPattern = (pattern: string, path: string): boolean => {
  const patternSegments = pattern.split('/')
  const pathSegments = path.split('/')
  for (let index = 0; index < patternSegments.length; index++) {
    if (patternSegments[index] === '**' && index === patternSegments.length - 1) return true
    if (index >= pathSegments.length) return false
    if (patternSegments[index] === '*' ? pathSegments[index] === '' : patternSegments[index] !== pathSegments[index]) return false
  }
  return pathSegments.length === patternSegments.length
}

const unknownKind = (service: ServiceConfiguration): Kind => ({
  name: 'unknown',
  methods: ['*'],
  path: '/**',
  idempotent: false,
  deadlineMs: service.defaultDeadlineMs,
  boundedBy: 'deadline',
  weight: 1,
  bodyBytesMax: UNKNOWN_BODY_BYTES_MAX,
  objective: service.objective
})

export const createServiceIndex = (services: Iterable<ServiceConfiguration>): ServiceIndex => {
  const all = [...services]
  const byHost = new Map(all.flatMap(service => service.hosts.map(host => [host.toLowerCase(), service] as const)))
  const byPrefix = [...all].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  const unknownKinds = new Map(all.map(service => [service.name, unknownKind(service)]))
  const serviceOf = (host: string | undefined, path: string): ServiceConfiguration | undefined =>
    (host === undefined ? undefined : byHost.get(hostOf(host))) ??
    byPrefix.find(service => isPathInPrefix(path, service.pathPrefix))

  /** Requests of an unknown kind are treated as non-idempotent, since a repeat could run them twice. */
  const classify = (head: RequestHead): Classified => {
    const path = pathOf(head.path)
    const service = serviceOf(head.host, path)
    if (!service) return { ok: false, error: 'service-unknown' }
    const kind = service.kinds.find(({ methods, path: pattern }) =>
      methods.includes(head.method) && matchesPattern(pattern, path))
    return kind
      ? { ok: true, service, kind, isKnown: true }
      : { ok: true, service, kind: unknownKinds.get(service.name) ?? unknownKind(service), isKnown: false }
  }

  const destinations = (head: RequestHead): Destination[] => {
    const classified = classify(head)
    return classified.ok ? [{ service: classified.service, kind: classified.kind, share: 1 }] : []
  }

  return { classify, destinations }
}

export const classifyRequest = (index: ServiceIndex, head: RequestHead): Classified => index.classify(head)
