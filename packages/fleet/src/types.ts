/**
 * Types of the decisions between nodes.
 */
import type {
  ConfigurationOrder, EntryAnswer, FleetSettings, GossipMessage, Head, MemberState, MemberUpdate,
  ServiceConfiguration, TargetNote, VmEntry
} from '@wisteriavalve/schema'
import type { ListedTarget, PublishedRoute, Random, Result } from '@wisteriavalve/common'
import type { TargetSet } from './target-union.js'

export type GossipAddress = { host: string, gossipPort: number }

export type MembershipOptions = {
  self: MemberUpdate
  random: Random
  /** Size of the datagram that carries a message. */
  sizeBytes: (message: GossipMessage) => number
  periodMs?: number
}

/** Actions that the daemon carries out after a membership call. */
export type MembershipAction =
  | { type: 'send', to: GossipAddress, message: GossipMessage }
  | { type: 'member-changed', member: MemberUpdate, previous: MemberState | undefined }
  | { type: 'notes-received', from: string, notes: TargetNote[] }
  | { type: 'configuration-seen', from: string, order: ConfigurationOrder }
  /** The sender acknowledged a nonce of this node, so its process is running and the message is not a replay. */
  | { type: 'sender-verified', nodeId: string }
  | { type: 'member-forgotten', nodeId: string }

export type Membership = {
  tick: (nowMs: number) => MembershipAction[]
  /**
   * @param isVerified whether the sending process has acknowledged a nonce
   *   before. From other processes only acks, pings and updates about this node
   *   are processed, because their messages can be replays.
   */
  receive: (message: GossipMessage, from: GossipAddress, nowMs: number, isVerified: boolean) => MembershipAction[]
  /** Updates the candidates from the entry VMs of the VM list. */
  applyVmList: (vms: readonly VmEntry[], nowMs: number) => MembershipAction[]
  leave: (nowMs: number) => MembershipAction[]
  /** To be called after the process was paused for gapMs; raises the incarnation. */
  resumeAfterPause: (gapMs: number, nowMs: number) => MembershipAction[]
  setLoadPercent: (loadPercent: number) => void
  setConfiguration: (order: ConfigurationOrder) => void
  queueNotes: (notes: readonly TargetNote[], nowMs: number) => void
  self: () => MemberUpdate
  /** All members that are not dead, including this node. */
  members: () => MemberUpdate[]
}

export type AdoptedConfiguration = {
  order: ConfigurationOrder
  head: Head
  settings: FleetSettings
  /** Services served by this node. */
  services: ReadonlyMap<string, ServiceConfiguration>
}

export type ConfigurationFault =
  | { code: 'configuration-older', message: string }
  | { code: 'value-hash-mismatch', message: string }
  | { code: 'value-missing', message: string }
  | { code: 'value-invalid', message: string }
  | { code: 'fleet-mismatch', message: string }

/** A head read from the configuration service or from a peer. */
export type HeadCandidate = {
  restoreCount: number
  revision: number
  bytes: Uint8Array
  source: 'service' | 'peer'
}

export type ConfigurationStep =
  /** All required values are present and the configuration was adopted. */
  | { step: 'adopted', configuration: AdoptedConfiguration }
  /** Values to fetch and pass to provideValue. */
  | { step: 'fetch', hashes: string[] }
  /** The head is the adopted one or an older one. */
  | { step: 'ignored', reason: 'same' | 'older' }
  | { step: 'rejected', fault: ConfigurationFault }

export type ConfigurationState = {
  offerHead: (candidate: HeadCandidate) => ConfigurationStep
  /** Passes the bytes of a value that a fetch step listed; pendingHashes returns the values still missing. */
  provideValue: (hash: string, bytes: Uint8Array) => ConfigurationStep
  /** Values still missing for the pending heads, those of the newest head first. */
  pendingHashes: () => string[]
  isPending: (hash: string) => boolean
  /** Orders of the pending heads, newest first. */
  pendingOrders: () => ConfigurationOrder[]
  adopted: () => AdoptedConfiguration | undefined
  /** Bytes of the adopted head and of the values it refers to, to be served to peers. */
  headBytes: () => Uint8Array | undefined
  valueBytes: (hash: string) => Uint8Array | undefined
}

export type MembershipView = {
  selfId: string
  zone: string
  members: readonly MemberUpdate[]
}

export type ConfigurationReads = {
  /** Whether this node watches the head at the configuration service. */
  isWatcher: boolean
  /** Peers to fetch values from, in order of preference. */
  pullFrom: MemberUpdate[]
}

export type EntryView = {
  members: readonly MemberUpdate[]
  settings: Pick<FleetSettings, 'entryAddressCount' | 'entryLifetimeMs'>
}

export type BuildEntryAnswer = (view: EntryView, request: { zone?: string }, random: Random) => EntryAnswer

export type ProbePlannerOptions = {
  /** Limit of the whole fleet, in probes per second for each target. */
  probesPerTargetPerS: number
  entryVmCountMax: number
  random: Random
}

export type ProbeCandidate = {
  targetId: string
  /** Time of the latest known response to a request of any node. */
  lastResponseMs?: number
  /** Time of the latest known response to a probe of any node. */
  lastProbeResponseMs?: number
}

export type ProbePlanner = {
  /** Returns the targets to probe now and consumes their tokens. */
  next: (candidates: readonly ProbeCandidate[], nowMs: number) => string[]
  /** Excludes a pause of the process from the refill of tokens. */
  resumeAfterPause: (gapMs: number, nowMs: number) => void
  /** Applies new limits and keeps the current tokens. */
  reconfigure: (rates: Pick<ProbePlannerOptions, 'probesPerTargetPerS' | 'entryVmCountMax'>) => void
}

/** Limits on the requests of callers. */
export type CallerBounds = { headerBytesMax: number, bodyBytesMax: number, headerTimeoutMs: number, idleTimeoutMs: number }

export type PublishedService = { name: string, healthPath: string, connectionsPerTarget: number, warmupMs?: number, warmupRatePerS?: number }

/**
 * Position in the history of the platform's store. The store gives revisions out
 * again after it was restored from an older copy, so only revisions of the same
 * restore count can be compared.
 */
export type StorePosition = {
  /** Number of restores of the store, as stated by the store. */
  restoreCount: number
  revision: number
}

/**
 * Configuration published by a platform as one document; a higher version
 * replaces a lower one, whatever the position in the store.
 */
export type PublishedConfiguration = {
  version: number
  /** Restore count of the store in which the document was read. */
  restoreCount: number
  routes: readonly PublishedRoute[]
  services: readonly PublishedService[]
  callerBounds: CallerBounds
}

export type PublishedTarget = ListedTarget & { service: string, state: 'ready' | 'draining' }

export type PublishedChange =
  | { type: 'target', target: PublishedTarget }
  | { type: 'target-removed', targetId: string }
  | { type: 'configuration', configuration: PublishedConfiguration }
  /** The targets of a zone must get no requests, or may get them again. */
  | { type: 'evacuation', zone: string, isActive: boolean }

/** The full published state at one position of the store. */
export type PublishedStateView = StorePosition & {
  configuration?: PublishedConfiguration
  targets: readonly PublishedTarget[]
  /** Absent in views of nodes of earlier releases. */
  evacuatedZones?: readonly string[]
}

export type PublishedState = {
  /** Applies the full state. Of a state before the current position, only the configuration is used. */
  applyAll: (view: PublishedStateView, nowMs: number) => void
  /** Applies changes up to a position with the current restore count; others have no effect. */
  applyChanges: (position: StorePosition, changes: readonly PublishedChange[], nowMs: number) => void
  /** Adopts a configuration that is newer than the current one, whatever the position of its source. */
  offerConfiguration: (configuration: PublishedConfiguration) => void
  /** Records that the store does not answer this node. */
  recordStoreUnreachable: () => void
  /** Records that the store answers again. */
  recordStoreReachable: (nowMs: number) => void
  /** Returns the configuration and the evacuated zones if they changed since the last call, and the targets of the services that may have changed. */
  takeChanges: (nowMs: number) => { configuration?: PublishedConfiguration, targets: Map<string, TargetSet>, evacuatedZones?: ReadonlySet<string> }
  view: () => PublishedStateView
  position: () => StorePosition
  configuration: () => PublishedConfiguration | undefined
  evacuatedZones: () => ReadonlySet<string>
}

/** Compares two configurations: positive when a is newer than b. */
export type CompareOrder = (a: ConfigurationOrder, b: ConfigurationOrder) => number

export type ParseResult<T> = Result<T, ConfigurationFault>
