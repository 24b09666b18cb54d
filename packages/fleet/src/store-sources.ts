/**
 * From where a node hears of changes in the platform's store. Calls to the
 * store are paid for, so in each availability zone only the first node by
 * rendezvous hashing, its watcher, waits at the store. The second one, the
 * relay, waits at the watchers of other zones. The rest of the zone waits at
 * pairs of nodes before it in the order, at both of a pair in turn; the first
 * pair is the watcher and the relay. So a zone hears of each change in two
 * ways, and a node that is cut off hides little.
 */
import { rendezvousOrder, type Random } from '@wisteriavalve/common'
import type { ConfigurationView } from './types.js'

/**
 * Nodes that wait at one pair. A weak VM needs some 10 ms to answer one of them,
 * so a pair that answered a whole zone would be late with each change.
 */
const FOLLOWERS_PER_PAIR = 8
/** Nodes of a zone that call the store when nobody whom they could ask hears from it. */
const STORE_CALLERS_PER_ZONE = 3
/** The others of the zone call it together about so often in each turn, in case it refuses these. */
const TRIES_PER_TURN = 0.5

/** store: this node calls the store itself; none: nobody to ask for now. */
export type StoreSource = { type: 'store' } | { type: 'peer', nodeId: string } | { type: 'none' }

export type StoreSourceState = {
  view: ConfigurationView
  /** Whether a node was not found silent or behind a short time ago. */
  isTrusted: (nodeId: string) => boolean
  /** Grows with each choice, so that sources take turns. */
  turn: number
  random: Random
}

/** Ids of the live nodes of a zone, the watcher first. */
const rankedIds = ({ selfId, zone: ownZone, members }: ConfigurationView, zone: string): string[] => {
  const ids = members.filter(member => member.zone === zone && member.state === 'alive' && member.nodeId !== selfId).map(({ nodeId }) => nodeId)
  return rendezvousOrder(`watch/${zone}`, zone === ownZone ? [...ids, selfId] : ids)
}

const farWatchers = (view: ConfigurationView): string[] => {
  const zones = new Set(view.members.map(({ zone }) => zone))
  return [...zones].flatMap(zone => zone === view.zone ? [] : rankedIds(view, zone).slice(0, 1))
}

const sourceIds = (view: ConfigurationView, rank: number, zoneIds: readonly string[]): string[] => {
  if (rank === 0) return []
  if (rank === 1) return farWatchers(view)
  const pair = 2 * Math.floor((rank - 2) / FOLLOWERS_PER_PAIR)
  return zoneIds.slice(pair, pair + 2)
}

export const chooseStoreSource = ({ view, isTrusted, turn, random }: StoreSourceState): StoreSource => {
  const zoneIds = rankedIds(view, view.zone)
  const rank = zoneIds.indexOf(view.selfId)
  const trusted = sourceIds(view, rank, zoneIds).filter(isTrusted)
  const nodeId = trusted[turn % Math.max(1, trusted.length)]
  if (nodeId !== undefined) return { type: 'peer', nodeId }
  if (rank < STORE_CALLERS_PER_ZONE || random.next() * zoneIds.length < TRIES_PER_TURN) return { type: 'store' }
  return { type: 'none' }
}
