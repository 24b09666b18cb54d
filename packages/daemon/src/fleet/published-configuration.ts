/**
 * Converts a published configuration to the form that the request path uses.
 */
import type { PublishedConfiguration, PublishedService } from '@wisteriavalve/fleet'
import type { FleetSettings, Kind, ServiceConfiguration } from '@wisteriavalve/schema'
import type { ActiveConfiguration, DaemonSettings } from '../types.js'
import { withAllowedZones } from './route-zones.js'

const DEFAULT_OBJECTIVE = { inTimePercent: 99, windowDays: 28 }
/** Slots per target of a service whose targets do not report them. */
const DEFAULT_SLOTS = 4
const DEFAULT_DEADLINE_MS = 1_000
/** Placeholder that is never used, because the routes define the kinds. */
const UNROUTED_KIND: Kind = {
  name: 'unrouted', methods: ['*'], path: '/', idempotent: false, deadlineMs: DEFAULT_DEADLINE_MS, boundedBy: 'deadline', weight: 1, bodyBytesMax: 0, objective: DEFAULT_OBJECTIVE
}
const EMPTY_HEAD_HASH = '0'.repeat(64)
/**
 * Number of entry VMs that are assumed to share the connections of a target.
 * One node may always open at least as many connections to a target as it has
 * slots, so the assumption does not restrict a smaller fleet.
 */
const ASSUMED_ENTRY_VM_COUNT = 64
/** Number of addresses in one entry answer. */
const ENTRY_ADDRESS_COUNT = 64
/**
 * Callers cache an entry answer for this long, some for three times as long.
 * A refresh costs two round trips before the next request, which is expensive
 * for distant callers. A caller whose node has left uses the next address of
 * its answer, so a longer lifetime does not cut it off.
 */
const ENTRY_LIFETIME_MS = 4_500

const toServiceConfiguration = ({ name, healthPath, connectionsPerTarget, warmupMs, warmupRatePerS }: PublishedService): ServiceConfiguration => ({
  format: 1,
  name,
  pathPrefix: '/',
  hosts: [],
  slotsPerTarget: DEFAULT_SLOTS,
  connectionsPerTarget: Math.max(connectionsPerTarget, DEFAULT_SLOTS * ASSUMED_ENTRY_VM_COUNT),
  healthPath,
  ...(warmupMs !== undefined && { warmupMs }),
  ...(warmupRatePerS !== undefined && { warmupRatePerS }),
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

export const toActiveConfiguration = (
  { version, routes, services, callerBounds }: PublishedConfiguration, settings: DaemonSettings
): ActiveConfiguration => ({
  order: { restoreCount: 0, revision: version, headHash: EMPTY_HEAD_HASH },
  settings: toFleetSettings(settings),
  services: new Map(services.map(service => [service.name, toServiceConfiguration(service)])),
  routes: withAllowedZones(routes, settings.zoneRegions ?? {}),
  callerBounds
})
