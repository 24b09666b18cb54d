/**
 * Types shared by the parts of the daemon.
 */
import type { Clock, EventRecord, Random, Route } from '@wisteriavalve/common'
import type { AdoptedConfiguration, CallerBounds, PermitAnswer, PermitQuery } from '@wisteriavalve/fleet'
import type { ProbeResult } from '@wisteriavalve/policy'
import type {
  ConfigurationOrder, EntryAnswer, EventEntry, LogEventName, MemberUpdate, NodeReport, NodeStatus, Target, TargetNote
} from '@wisteriavalve/schema'
import type { EntryCaller, ZoneRegions } from './fleet/route-zones.js'
import type { ExplainQuery, NodeResults } from './admin-api.js'

/** Validated settings of the process; see docs/settings.md. */
export type DaemonSettings = {
  nodeId: string
  fleet: string
  zone: string
  /** Region of each zone; the zones of regions that routes are limited to. */
  zoneRegions?: ZoneRegions
  fleetKey: string
  callerListen: ListenAddress
  gossipListen: ListenAddress
  peerListen: ListenAddress
  adminListen: ListenAddress
  advertiseHost: string
  advertiseCallerPort?: number
  advertiseGossipPort?: number
  advertisePeerPort?: number
  configurationServiceUrl: string
  vmListUrl: string
  /** Names of the services that this node serves; empty for all. */
  services: string[]
  policy: string
  seed: number
  logLevel: string
  stopTimeoutMs: number
}

export type ListenAddress = { host: string, port: number }

/** Writes one log line for an event; fields become key=value pairs. */
export type Log = (event: LogEventName, fields?: Record<string, string | number | boolean>) => void

export type DaemonContext = {
  settings: DaemonSettings
  clock: Clock
  random: Random
  log: Log
  events: EventRecord
}

/** Parts of a configuration that the request path uses. */
export type ActiveConfiguration = Pick<AdoptedConfiguration, 'order' | 'settings' | 'services'> & {
  /**
   * Routes by host and path prefix. Without them, requests are matched by the
   * prefixes and kinds of the services.
   */
  routes?: readonly Route[]
  callerBounds?: CallerBounds
}

/** Targets of one service, the union of the VM list and the configuration. */
export type ServiceTargets = { targets: Target[], leavingIds: string[] }

/** Data that this node returns to peers on request. */
export type PeerSource = {
  status: () => NodeStatus
  explain: (query: ExplainQuery) => EventEntry[]
  report: () => NodeReport
  /** Requests under which targets ended. */
  crashNotes: () => TargetNote[]
}

export type RequestPermit = (query: Omit<PermitQuery, 'nodeId'>) => Promise<PermitAnswer>

/** The part of the daemon that communicates with other nodes and reads from the platform. */
export type FleetRuntime = {
  /** Binds the gossip and peer addresses and starts reading the configuration. */
  start: (peerSource: PeerSource) => Promise<void>
  onConfiguration: (listener: (configuration: ActiveConfiguration) => void) => void
  onTargets: (listener: (service: string, targets: ServiceTargets) => void) => void
  /** The listener receives the zones whose targets must get no requests, at each change. */
  onEvacuations: (listener: (zones: ReadonlySet<string>) => void) => void
  onNotes: (listener: (notes: TargetNote[]) => void) => void
  /** The listener receives the results of this node's health probes. */
  onProbe: (listener: (service: string, targetId: string, result: ProbeResult) => void) => void
  /**
   * Sets the function from which the probe planner reads the time of a
   * target's last response to this node, in monotonic ms.
   */
  setLastResponseSource: (lastResponseMs: (service: string, targetId: string) => number | undefined) => void
  shareNotes: (notes: TargetNote[]) => void
  /** Asks for permission to send one request to a target that limits the requests of all nodes together. */
  requestPermit: RequestPermit
  setLoadPercent: (loadPercent: number) => void
  entryAnswer: (caller?: EntryCaller) => EntryAnswer
  members: () => MemberUpdate[]
  configuration: () => ActiveConfiguration | undefined
  configurationStatus: () => { order?: ConfigurationOrder, state: NodeStatus['configurationState'], reason?: string }
  queryFleetStatus: () => Promise<NodeResults<NodeStatus>>
  queryFleetExplain: (query: ExplainQuery) => Promise<NodeResults<{ nodeId: string, events: EventEntry[] }>>
  queryFleetReport: () => Promise<NodeResults<NodeReport>>
  /** Informs peers that this node is leaving; entry answers no longer include it. */
  leave: () => void
  /** To be called after the process did not run for gapMs. */
  resumeAfterPause: (gapMs: number) => void
  /** Monotonic totals by name. */
  counters: () => Record<string, number>
  /** Current values by name; unknown values are omitted. */
  gauges: () => Record<string, number>
  stop: () => Promise<void>
}
