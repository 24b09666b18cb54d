/**
 * Types of the classification of requests into services and kinds.
 */
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'

export type RequestHead = { method: string, path: string, host?: string }

/** Services of a configuration, indexed for the request path. */
export type ServiceIndex = { classify: (head: RequestHead) => Classified }

export type Classified =
  | { ok: true, service: ServiceConfiguration, kind: Kind, isKnown: boolean }
  | { ok: false, error: 'service-unknown' }
