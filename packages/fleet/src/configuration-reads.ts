/**
 * Selects the nodes that read the configuration service. In each availability
 * zone the first two nodes by rendezvous hashing over the local view watch it. The
 * number of reads therefore depends on the number of zones and not on the size of
 * the fleet, and each side of a partition has watchers of its own.
 */
import { rendezvousOrder } from '@wisteriavalve/common'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { PULL_PEERS_MAX, WATCHERS_PER_ZONE } from './constants.js'
import type { ConfigurationReads, MembershipView } from './types.js'

const orderPeers = (selfId: string, members: readonly MemberUpdate[]): MemberUpdate[] => {
  const byId = new Map(members.map(member => [member.nodeId, member]))
  return rendezvousOrder(`pull/${selfId}`, [...byId.keys()]).map(id => byId.get(id) as MemberUpdate)
}

/** Ids of the nodes of this availability zone that watch the configuration service, possibly including this node. */
export const watcherIds = ({ selfId, zone: ownZone, members }: MembershipView): string[] => {
  const candidates = members
    .filter(({ nodeId, zone, state }) => zone === ownZone && state === 'alive' && nodeId !== selfId)
    .map(({ nodeId }) => nodeId)
  return rendezvousOrder(`watch/${ownZone}`, [...candidates, selfId]).slice(0, WATCHERS_PER_ZONE)
}

export const planConfigurationReads = (view: MembershipView): ConfigurationReads => {
  const watchers = watcherIds(view)
  const peers = view.members.filter(({ nodeId, state }) => nodeId !== view.selfId && (state === 'alive' || state === 'leaving'))
  const sameZone = orderPeers(view.selfId, peers.filter(({ zone }) => zone === view.zone))
  const otherZones = orderPeers(view.selfId, peers.filter(({ zone }) => zone !== view.zone))
  return { isWatcher: watchers.includes(view.selfId), pullFrom: [...sameZone, ...otherZones].slice(0, PULL_PEERS_MAX) }
}
