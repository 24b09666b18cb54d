/**
 * Derives the load of each kind from the configuration of its service.
 */
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import type { KindLoad } from './types.js'

const READ_SHARE = 8
const WRITE_SHARE = 2
const UPLOAD_SHARE = 0.5
const WRITE_BYTES = 500
const UPLOAD_BYTES = 512 * 1024
const UPLOAD_MS = 2000

/** A path that matches the pattern: `*` stands for one segment, `**` for any number of segments. */
const examplePath = (service: ServiceConfiguration, kind: Kind): string => {
  const path = kind.path.replaceAll(/\*\*?/g, '{n}')
  return path.startsWith(service.pathPrefix) ? path : service.pathPrefix + path
}

export const toKindLoad = (service: ServiceConfiguration, kind: Kind): KindLoad => {
  const method = kind.methods[0]
  const hasBody = method !== 'GET' && method !== 'HEAD' && method !== 'DELETE' && kind.bodyBytesMax > 0
  const isUpload = hasBody && kind.boundedBy === 'progress'
  return {
    service: service.name,
    kind: kind.name,
    method,
    path: examplePath(service, kind),
    idempotent: kind.idempotent,
    deadlineMs: kind.deadlineMs,
    boundedBy: kind.boundedBy,
    weight: kind.weight,
    share: isUpload ? UPLOAD_SHARE : kind.idempotent ? READ_SHARE : WRITE_SHARE,
    bodyBytes: hasBody ? Math.min(kind.bodyBytesMax, isUpload ? UPLOAD_BYTES : WRITE_BYTES) : 0,
    uploadMs: isUpload ? UPLOAD_MS : 0
  }
}

export const toKindLoads = (services: readonly ServiceConfiguration[]): KindLoad[] =>
  services.flatMap(service => service.kinds.map(kind => toKindLoad(service, kind)))
