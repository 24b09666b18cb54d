/**
 * Finds the service and the kind of a request. Hosts are looked up in a map;
 * path prefixes are tried from the longest on. Kinds are tried in the order of
 * the configuration, and the first that matches counts.
 */
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import type { Classified, ServiceIndex, RequestHead } from './types.js'

/** Body limit of an unknown kind. */
const UNKNOWN_BODY_BYTES_MAX = 1024 * 1024

const isPathInPrefix = (path: string, prefix: string): boolean =>
  prefix === '/' || path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)

/** Path without query; the host without port, in lower case. */
export const pathOf = (target: string): string => {
  const end = target.search(/[?#]/)
  return end < 0 ? target : target.slice(0, end)
}
export const hostOf = (host: string): string => host.replace(/:\d+$/, '').toLowerCase()

/** Pattern segments: * matches one segment, ** at the end any rest, also an empty one. */
export const matchesPattern = (pattern: string, path: string): boolean => {
  const wanted = pattern.split('/')
  const found = path.split('/')
  for (let index = 0; index < wanted.length; index++) {
    if (wanted[index] === '**' && index === wanted.length - 1) return true
    if (index >= found.length) return false
    if (wanted[index] === '*' ? found[index] === '' : wanted[index] !== found[index]) return false
  }
  return found.length === wanted.length
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

  /** A request of an unknown kind is treated as non-idempotent, so it is never repeated by mistake. */
  const classify = (head: RequestHead): Classified => {
    const path = pathOf(head.path)
    const service = serviceOf(head.host, path)
    if (!service) return { ok: false, error: 'service-unknown' }
    const kind = service.kinds.find(({ methods, path: pattern }) =>
      methods.includes(head.method) && matchesPattern(pattern, path))
    return kind
      ? { ok: true, service, kind, known: true }
      : { ok: true, service, kind: unknownKinds.get(service.name) ?? unknownKind(service), known: false }
  }

  return { classify }
}

export const classifyRequest = (index: ServiceIndex, head: RequestHead): Classified => index.classify(head)
