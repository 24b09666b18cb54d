/**
 * Types between the parts of the daemon.
 */
import type { Clock, EventRecord, Random, Route } from '@wisteriavalve/common'
import type { AdoptedConfiguration, CallerBounds } from '@wisteriavalve/fleet'
import type { ProbeResult } from '@wisteriavalve/policy'
import type {
  ConfigurationOrder, EntryAnswer, EventEntry, LogEventName, MemberUpdate, NodeReport, NodeStatus, Target, TargetNote
} from '@wisteriavalve/schema'
import type { ExplainQuery, Gathered } from './admin-api.js'

/** Settings of the process after they passed their check; see docs/settings.md. */
export type DaemonSettings = {
  nodeId: string
  fleet: string
  zone: string
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
  /** Services that this node serves; empty for all. */
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

/** What the request path needs of a configuration. */
export type ConfigurationInForce = Pick<AdoptedConfiguration, 'order' | 'settings' | 'services'> & {
  /** Routes by host and path prefix; without them the services' own prefixes and kinds decide. */
  routes?: readonly Route[]
  callerBounds?: CallerBounds
}

/** Targets of one service: the union of the VM list and the configuration. */
export type ServiceTargets = { targets: Target[], leavingIds: string[] }

/** What this node answers when a peer asks it for its state. */
export type PeerSource = {
  status: () => NodeStatus
  explain: (query: ExplainQuery) => EventEntry[]
  report: () => NodeReport
}

/** The part of the daemon that acts together with other nodes and reads the platform. */
export type FleetRuntime = {
  /** Binds the gossip and peer addresses and begins to look for a configuration. */
  start: (peerSource: PeerSource) => Promise<void>
  onConfiguration: (listener: (configuration: ConfigurationInForce) => void) => void
  onTargets: (listener: (service: string, targets: ServiceTargets) => void) => void
  onNotes: (listener: (notes: TargetNote[]) => void) => void
  /** Result of a health probe of this node. */
  onProbe: (listener: (service: string, targetId: string, result: ProbeResult) => void) => void
  /** Where the probe planner asks for the last answer to a request of this node, monotonic ms. */
  setAnswerSource: (lastAnswerMs: (service: string, targetId: string) => number | undefined) => void
  shareNotes: (notes: TargetNote[]) => void
  setLoadPercent: (loadPercent: number) => void
  entryAnswer: (zone?: string) => EntryAnswer
  members: () => MemberUpdate[]
  configuration: () => ConfigurationInForce | undefined
  configurationStatus: () => { order?: ConfigurationOrder, state: NodeStatus['configurationState'], reason?: string }
  gatherStatus: () => Promise<Gathered<NodeStatus>>
  gatherExplain: (query: ExplainQuery) => Promise<Gathered<{ nodeId: string, events: EventEntry[] }>>
  gatherReport: () => Promise<Gathered<NodeReport>>
  /** Tells peers that this node leaves; entry answers leave it out from now on. */
  leave: () => void
  /** To be called when the process did not run for gapMs. */
  wake: (gapMs: number) => void
  /** Totals that only grow, by name. */
  counters: () => Record<string, number>
  /** Single values by name; a value that is not known yet is left out. */
  gauges: () => Record<string, number>
  stop: () => Promise<void>
}
