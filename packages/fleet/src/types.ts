/**
 * Types of the decisions between nodes.
 */
import type {
  ConfigurationOrder, EntryAnswer, FleetSettings, GossipMessage, Head, MemberState, MemberUpdate,
  ServiceConfiguration, TargetNote, VmEntry
} from '@wisteriavalve/schema'
import type { ListedTarget, Random, Result, Route } from '@wisteriavalve/common'
import type { TargetSet } from './target-union.js'

export type GossipAddress = { host: string, gossipPort: number }

export type MembershipOptions = {
  self: MemberUpdate
  random: Random
  /** Size of the datagram that carries a message. */
  sizeBytes: (message: GossipMessage) => number
  periodMs?: number
}

/** What the daemon has to do after a membership call. */
export type MembershipAction =
  | { type: 'send', to: GossipAddress, message: GossipMessage }
  | { type: 'member-changed', member: MemberUpdate, previous: MemberState | undefined }
  | { type: 'notes-received', from: string, notes: TargetNote[] }
  | { type: 'configuration-seen', from: string, order: ConfigurationOrder }
  /** The sender of the message answered a nonce of this node, so its process is known to run now. */
  | { type: 'sender-verified', nodeId: string }
  | { type: 'member-forgotten', nodeId: string }

export type Membership = {
  tick: (nowMs: number) => MembershipAction[]
  /**
   * @param isVerified whether the sending process has answered a nonce before;
   *   from others only nonces and pings are taken, since they can be replays
   */
  receive: (message: GossipMessage, from: GossipAddress, nowMs: number, isVerified: boolean) => MembershipAction[]
  /** Takes over entry VMs of the VM list as candidates. */
  learn: (vms: readonly VmEntry[], nowMs: number) => MembershipAction[]
  leave: (nowMs: number) => MembershipAction[]
  /** To be called when the process did not run for gapMs: takes a new incarnation. */
  wake: (gapMs: number, nowMs: number) => MembershipAction[]
  setLoadPercent: (loadPercent: number) => void
  setConfiguration: (order: ConfigurationOrder) => void
  queueNotes: (notes: readonly TargetNote[], nowMs: number) => void
  self: () => MemberUpdate
  /** All known members, this node included, dead ones left out. */
  members: () => MemberUpdate[]
}

export type AdoptedConfiguration = {
  order: ConfigurationOrder
  head: Head
  settings: FleetSettings
  /** Services that this node serves. */
  services: ReadonlyMap<string, ServiceConfiguration>
}

export type ConfigurationFault =
  | { code: 'configuration-older', message: string }
  | { code: 'value-hash-mismatch', message: string }
  | { code: 'value-missing', message: string }
  | { code: 'value-invalid', message: string }
  | { code: 'fleet-mismatch', message: string }

/** Head as read from the configuration service or from a peer. */
export type HeadCandidate = {
  restoreCount: number
  revision: number
  bytes: Uint8Array
  source: 'service' | 'peer'
}

export type ConfigurationStep =
  /** All that is needed is there and is now in force. */
  | { step: 'adopted', configuration: AdoptedConfiguration }
  /** Values that have to be fetched and given to provideValue. */
  | { step: 'fetch', hashes: string[] }
  /** The same as or older than what is in force. */
  | { step: 'ignored', reason: 'same' | 'older' }
  | { step: 'rejected', fault: ConfigurationFault }

export type ConfigurationState = {
  offerHead: (candidate: HeadCandidate) => ConfigurationStep
  /** Gives the bytes of a value that a fetch step asked for; pendingHashes tells what is still missing. */
  provideValue: (hash: string, bytes: Uint8Array) => ConfigurationStep
  /** Values that the heads under way still miss, those of the newest head first. */
  pendingHashes: () => string[]
  isPending: (hash: string) => boolean
  /** Orders of the heads under way, newest first. */
  pendingOrders: () => ConfigurationOrder[]
  adopted: () => AdoptedConfiguration | undefined
  /** Bytes of the head in force and of the values that it needs, for peers. */
  headBytes: () => Uint8Array | undefined
  valueBytes: (hash: string) => Uint8Array | undefined
}

export type ConfigurationView = {
  selfId: string
  zone: string
  members: readonly MemberUpdate[]
}

export type ConfigurationReads = {
  /** Whether this node keeps a watch on the head. */
  watch: boolean
  /** Peers to pull values from, best first. */
  pullFrom: MemberUpdate[]
}

export type EntryView = {
  members: readonly MemberUpdate[]
  settings: Pick<FleetSettings, 'entryAddressCount' | 'entryLifetimeMs'>
}

export type AnswerEntry = (view: EntryView, request: { zone?: string }, random: Random) => EntryAnswer

export type ProbePlannerOptions = {
  /** Bound over the whole fleet, probes a second for each target. */
  probesPerTargetPerS: number
  entryVmCountMax: number
  random: Random
}

export type ProbeCandidate = {
  targetId: string
  /** Last answer to a request of any node, as far as known. */
  lastAnswerMs?: number
  /** Last answer to a probe of any node, as far as known. */
  lastProbeAnswerMs?: number
}

export type ProbePlanner = {
  /** Targets to probe now; takes their tokens. */
  next: (candidates: readonly ProbeCandidate[], nowMs: number) => string[]
  /** Tokens gain nothing over a pause. */
  wake: (gapMs: number, nowMs: number) => void
  /** Takes over new bounds; tokens that were saved stay as they are. */
  reconfigure: (rates: Pick<ProbePlannerOptions, 'probesPerTargetPerS' | 'entryVmCountMax'>) => void
}

/** Bounds on what a caller may send. */
export type CallerBounds = { headerBytesMax: number, bodyBytesMax: number, headerTimeoutMs: number, idleTimeoutMs: number }

export type PublishedService = { name: string, healthPath: string, connectionsPerTarget: number }

/** Configuration that a platform publishes as one document; a higher version replaces a lower one. */
export type PublishedConfiguration = {
  version: number
  routes: readonly Route[]
  services: readonly PublishedService[]
  callerBounds: CallerBounds
}

export type PublishedTarget = ListedTarget & { service: string, state: 'ready' | 'draining' }

export type PublishedChange =
  | { type: 'target', target: PublishedTarget }
  | { type: 'target-removed', targetId: string }
  | { type: 'configuration', configuration: PublishedConfiguration }

/** All that is published, at one revision of the store. */
export type PublishedStateView = {
  revision: number
  configuration?: PublishedConfiguration
  targets: readonly PublishedTarget[]
}

export type PublishedState = {
  /** Takes over the whole state; older revisions have no effect. */
  applyAll: (view: PublishedStateView, nowMs: number) => void
  applyChanges: (revision: number, changes: readonly PublishedChange[], nowMs: number) => void
  /** The store does not answer this node. */
  noteAway: () => void
  noteReturned: (nowMs: number) => void
  /** The configuration if it is new, and the services whose targets may have changed. */
  takeChanges: (nowMs: number) => { configuration?: PublishedConfiguration, targets: Map<string, TargetSet> }
  view: () => PublishedStateView
  revision: () => number
  configuration: () => PublishedConfiguration | undefined
}

/** Order of two configurations: above 0 when a goes before b. */
export type CompareOrder = (a: ConfigurationOrder, b: ConfigurationOrder) => number

export type ParseResult<T> = Result<T, ConfigurationFault>
