/**
 * Turns a published configuration into the form that the request path uses.
 */
import type { PublishedConfiguration, PublishedService } from '@wisteriavalve/fleet'
import type { FleetSettings, Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import type { ConfigurationInForce, DaemonSettings } from '../types.js'

const DEFAULT_OBJECTIVE = { inTimePercent: 99, windowDays: 28 }
/** Of a service whose targets do not tell their slots. */
const DEFAULT_SLOTS = 4
const DEFAULT_DEADLINE_MS = 1_000
/** The routes carry the kinds; this one is never used. */
const UNROUTED_KIND: Kind = {
  name: 'unrouted', methods: ['*'], path: '/', idempotent: false, deadlineMs: DEFAULT_DEADLINE_MS, boundedBy: 'deadline', weight: 1, bodyBytesMax: 0, objective: DEFAULT_OBJECTIVE
}
const EMPTY_HEAD_HASH = '0'.repeat(64)
/**
 * Entry VMs that are assumed to share the connections of a target. Every
 * target keeps at least as many for one node as it has slots, so a smaller
 * fleet loses nothing by it.
 */
const ASSUMED_ENTRY_VM_COUNT = 64
/** Addresses in one entry answer. */
const ENTRY_ADDRESS_COUNT = 64
/**
 * Callers keep an answer for this long, some for three times as long. Asking
 * again costs a caller two round trips before its next request, which counts
 * for callers that are far away; a caller whose node is gone takes the next
 * address of its answer.
 */
const ENTRY_LIFETIME_MS = 4_500

const toServiceConfiguration = ({ name, healthPath, connectionsPerTarget }: PublishedService): ServiceConfiguration => ({
  format: 1,
  name,
  pathPrefix: '/',
  hosts: [],
  slotsPerTarget: DEFAULT_SLOTS,
  connectionsPerTarget: Math.max(connectionsPerTarget, DEFAULT_SLOTS * ASSUMED_ENTRY_VM_COUNT),
  healthPath,
  defaultDeadlineMs: DEFAULT_DEADLINE_MS,
  targets: [],
  objective: DEFAULT_OBJECTIVE,
  kinds: [UNROUTED_KIND]
})

const toFleetSettings = ({ fleet, zone }: DaemonSettings): FleetSettings => ({
  format: 1,
  fleet,
  region: '',
  zones: [zone],
  entryVmCountMax: ASSUMED_ENTRY_VM_COUNT,
  probesPerTargetPerS: 0,
  probeCpuPercent: 1,
  entryAddressCount: ENTRY_ADDRESS_COUNT,
  entryLifetimeMs: ENTRY_LIFETIME_MS
})

export const toConfigurationInForce = (
  { version, routes, services, callerBounds }: PublishedConfiguration, settings: DaemonSettings
): ConfigurationInForce => ({
  order: { restoreCount: 0, revision: version, headHash: EMPTY_HEAD_HASH },
  settings: toFleetSettings(settings),
  services: new Map(services.map(service => [service.name, toServiceConfiguration(service)])),
  routes,
  callerBounds
})
