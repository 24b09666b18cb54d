/**
 * Types of the classification of requests into services and kinds.
 */
import type { Kind, ServiceConfiguration } from '@wisteriavalve/schema'

export type RequestHead = { method: string, path: string, host?: string }

/** Services of a configuration, indexed for the request path. */
export type ServiceIndex = {
  classify: (head: RequestHead) => Classified
  /** Where requests with this head go, without counting one; empty if no service matches. */
  destinations: (head: RequestHead) => Destination[]
}

/** A service to which requests of one kind go, and its share of them, from 0 to 1. */
export type Destination = { service: ServiceConfiguration, kind: Kind, share: number, allowedZones?: ReadonlySet<string> }

export type Classified =
  /** allowedZones: zones whose targets the request may reach; absent: all. */
  | { ok: true, service: ServiceConfiguration, kind: Kind, isKnown: boolean, allowedZones?: ReadonlySet<string> }
  | { ok: false, error: 'service-unknown' }
