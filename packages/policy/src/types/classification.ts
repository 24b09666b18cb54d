/**
 * Types of the classification of requests into services and kinds.
 */
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'

export type RequestHead = { method: string, path: string, host?: string }

/** Services of a configuration, indexed for the request path. */
export type ServiceIndex = { classify: (head: RequestHead) => Classified }

export type Classified =
  /** allowedZones: zones whose targets the request may reach; absent: all. */
  | { ok: true, service: ServiceConfiguration, kind: Kind, isKnown: boolean, allowedZones?: ReadonlySet<string> }
  | { ok: false, error: 'service-unknown' }
