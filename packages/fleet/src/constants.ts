/**
 * Durations and limits of the decisions between nodes. The suffix of each name
 * is its unit.
 */

export const PROTOCOL_PERIOD_MS = 1000
/** Time to wait for an ack before indirect pings are requested. Round trips between zones take about 2 ms. */
export const DIRECT_PING_TIMEOUT_MS = 300
export const INDIRECT_PING_COUNT = 3
export const SUSPICION_PERIODS_MIN = 3
export const SENDS_PER_LOG2_MEMBERS = 6
export const DATAGRAM_BYTES_MAX = 1200
/** Datagram size up to which updates of alive members are added. Keeps a node below 10 KB/s while hundreds of nodes join. */
export const DATAGRAM_BYTES_ALIVE_MAX = 900
/** Datagram size up to which load refreshes are added. Together with the ping rate this keeps a node below 10 KB/s. */
export const DATAGRAM_BYTES_LOAD_MAX = 700
export const DEAD_RETENTION_MS = 60_000
export const RECONNECT_INTERVAL_MS = 5000
/** Limit of initial pings to candidates per period; avoids a burst when the VM list has hundreds of VMs. */
export const CANDIDATE_PINGS_PER_PERIOD = 3
export const CANDIDATES_MAX = 1024
export const RELAYS_MAX = 64
/** Random members added to the free space of a datagram. They repair lost updates and merge views after a partition. */
export const FILLER_UPDATES_MAX = 6
export const UPDATES_PER_MESSAGE_MAX = 32
export const NOTES_PER_MESSAGE_MAX = 32
/** A longer gap between ticks is treated as a pause of the process. */
export const PAUSE_GAP_MS = 500

/** Pings sent immediately for updates that cannot wait for the next period. */
export const BURST_FANOUT = 4
export const BURST_INTERVAL_MS = 100
export const BURST_REFILL_PER_S = 0.5
export const BURST_TOKENS_MAX = 4

/** Minimum load change that is announced to the whole fleet. */
export const LOAD_STEP_PERCENT = 25
export const LOAD_ANNOUNCE_INTERVAL_MS = 5000
/** Minimum time between announcements that a node is cut off from the targets and that it reaches them again. */
export const CUT_OFF_ANNOUNCE_INTERVAL_MS = 1000
export const OVERLOAD_PERCENT = 100
/** Load of a node that reaches no target and so has no capacity. */
export const UNREACHABLE_LOAD_PERCENT = 1000

/** Older observations of targets are neither applied nor forwarded. */
export const NOTE_AGE_MAX_MS = 30_000
export const NOTE_RETENTION_MS = 60_000
export const NOTES_TRACKED_MAX = 20_000
export const STATE_NOTES_QUEUED_MAX = 1024
export const ANSWERING_NOTES_QUEUED_MAX = 256
export const UPDATES_QUEUED_MAX = 4096
/**
 * An observation repeated within this time is a duplicate. Nodes receive the
 * VM list seconds apart, and each node reports the same leaving VMs.
 */
export const STATE_NOTE_REPEAT_MS = 15_000
export const ANSWERING_NOTE_REPEAT_MS = 1000

/** Heads whose values are collected at the same time; the oldest one is dropped for a newer one. */
export const PENDING_HEADS_MAX = 4
export const REJECTED_HEADS_MAX = 64
export const WATCHERS_PER_ZONE = 2
export const PULL_PEERS_MAX = 8

/**
 * Time without traffic after which a target is probed. Observed traffic reaches the whole fleet within about 6 s.
 * With 4 s, nodes without traffic of their own probed busy targets (bench `probes`, 5 nodes: 2 probes of 6 targets in 30 s).
 */
export const PROBE_AFTER_IDLE_MS = 10_000

export const SEQUENCE_WINDOW = 256
export const UNVERIFIED_WINDOWS_MAX = 256

/** Target entries that expired while the store was unreachable, or that a restored store lost, are listed again within this time after it answers again. */
export const RELISTING_GRACE_MS = 2000
/**
 * An evacuation that a restored store lacks stays in force for this time: 2 s, within which it is written
 * again, and 2 s, within which the change reaches all nodes.
 */
export const EVACUATION_GRACE_MS = RELISTING_GRACE_MS + 2000
/** Time after which the store removes the entry of a target that has stopped renewing it, when the platform does not state it. */
export const TARGET_LEASE_DEFAULT_MS = 4500

/** Time for which a VM stays marked as leaving, because a stale VM list can show it as live again. */
export const LEAVING_RETENTION_MS = 60_000
