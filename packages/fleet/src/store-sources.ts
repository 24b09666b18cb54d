/**
 * Selection of the source from which a node reads changes of the platform's
 * store. Calls to the store are billed, so in each availability zone only the
 * first node by rendezvous hashing, the watcher, watches the store. The second
 * one, the relay, reads from the watchers of other zones. The other nodes of the
 * zone are assigned to pairs of nodes ranked before them and alternate between
 * the two nodes of their pair; the first pair is the watcher and the relay. A
 * zone therefore receives each change over two paths, and the loss of one node
 * affects few others.
 */
import { rendezvousOrder, type Random } from '@wisteriavalve/common'
import type { MembershipView } from './types.js'

/**
 * Followers of one pair. A small VM needs about 10 ms to answer one follower,
 * so a pair that served a whole zone would delay each change.
 */
const FOLLOWERS_PER_PAIR = 8
/** Nodes of a zone that call the store directly when they have no eligible peer. */
const STORE_CALLERS_PER_ZONE = 3
/** Nodes after the watcher and the relay that read the store while the watcher has lost it. */
const DEPUTIES_PER_ZONE = 2
/** Expected store calls per turn of all other nodes of the zone together, in case the store refuses the calls of the first nodes. */
const EXTRA_STORE_CALLS_PER_TURN = 0.5

/** store: this node calls the store itself; none: no source is available at present. */
export type StoreSource = { type: 'store' } | { type: 'peer', nodeId: string } | { type: 'none' }

export type StoreSourceOptions = {
  view: MembershipView
  /** False for a node that recently did not answer or lagged behind. */
  isEligible: (nodeId: string) => boolean
  /** False while the store has recently not answered this node. */
  isStoreEligible?: boolean
  /** Increases with each choice; the sources are used in turn. */
  turn: number
  random: Random
}

/** Ids of the alive nodes of a zone in rendezvous order; the first one is the watcher. */
const rankedIds = ({ selfId, zone: ownZone, members }: MembershipView, zone: string): string[] => {
  const ids = members.filter(member => member.zone === zone && member.state === 'alive' && member.nodeId !== selfId).map(({ nodeId }) => nodeId)
  return rendezvousOrder(`watch/${zone}`, zone === ownZone ? [...ids, selfId] : ids)
}

const otherZoneWatchers = (view: MembershipView): string[] => {
  const zones = new Set(view.members.map(({ zone }) => zone))
  return [...zones].flatMap(zone => zone === view.zone ? [] : rankedIds(view, zone).slice(0, 1))
}

const sourceIds = (view: MembershipView, rank: number, zoneIds: readonly string[]): string[] => {
  if (rank === 0) return []
  if (rank === 1) return otherZoneWatchers(view)
  const pairStart = 2 * Math.floor((rank - 2) / FOLLOWERS_PER_PAIR)
  return zoneIds.slice(pairStart, pairStart + 2)
}

/**
 * Whether a node reads the store in place of a watcher that has lost it. The
 * others of the zone follow the relay then, but its sources, the watchers of the
 * other zones, can have lost the store at the same time without knowing it yet.
 */
const isDeputy = (rank: number): boolean => rank > 1 && rank <= 1 + DEPUTIES_PER_ZONE

export const chooseStoreSource = ({ view, isEligible, isStoreEligible = true, turn, random }: StoreSourceOptions): StoreSource => {
  const zoneIds = rankedIds(view, view.zone)
  const rank = zoneIds.indexOf(view.selfId)
  const eligible = sourceIds(view, rank, zoneIds).filter(isEligible)
  if (isDeputy(rank) && isStoreEligible && !isEligible(zoneIds[0] as string)) return { type: 'store' }
  const nodeId = eligible[turn % Math.max(1, eligible.length)]
  if (nodeId !== undefined) return { type: 'peer', nodeId }
  if (rank < STORE_CALLERS_PER_ZONE || random.next() * zoneIds.length < EXTRA_STORE_CALLS_PER_TURN) return { type: 'store' }
  return { type: 'none' }
}
