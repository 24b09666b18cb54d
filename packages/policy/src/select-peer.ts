/**
 * Selects the peer that gets the requests of a node that is cut off from the
 * targets. This answers the loss of the network between some or most nodes and all
 * targets, often those of one zone. Peers that are known to be cut off as well get
 * nothing. Peers of the own zone are preferred, since traffic between zones is
 * paid for, but not where most nodes of the zone are cut off: the few others could
 * not carry its load, and it is spread over all peers.
 */
import type { Random } from '@wisteriavalve/common'
import { isPaused } from './target-pause.js'
import type { TargetState } from './types.js'
import { isZoneAllowed, type ZoneRestriction } from './zone-limits.js'

export type PeerRequest = ZoneRestriction & {
  /** Zone of this node. */
  zone: string
  /** Peers that were tried for the request. */
  exclude: ReadonlySet<string>
  /** Whether a peer announces that it is cut off. */
  isCutOff: (peerId: string) => boolean
}

/** @param peers state of the peers; one that refused requests for want of targets is paused */
export const selectPeer = (peers: readonly TargetState[], { zone, exclude, isCutOff, allowedZones }: PeerRequest, nowMs: number, random: Random): TargetState | undefined => {
  const isNear = ({ target }: TargetState): boolean => target.zone === zone
  const isAnnounced = ({ target }: TargetState): boolean => isCutOff(target.id)
  const isRefusing = (state: TargetState): boolean => isPaused(state, nowMs) && !isAnnounced(state)
  const usable = peers.filter(state => !isPaused(state, nowMs) && !isAnnounced(state) && !exclude.has(state.target.id) && isZoneAllowed(state, { allowedZones }))
  const near = usable.filter(isNear)
  const cutOffNearCount = 1 + peers.filter(state => isNear(state) && isAnnounced(state)).length
  // A refusal that no announcement explains yet is often the first sign that the whole zone is cut off.
  const isZoneDoubtful = peers.some(state => isNear(state) && isRefusing(state))
  const far = isZoneDoubtful ? usable.filter(state => !isNear(state)) : []
  const preferred = near.length >= cutOffNearCount && !isZoneDoubtful ? near : far
  const candidates = preferred.length > 0 ? preferred : usable
  return candidates.length === 0 ? undefined : candidates[random.int(candidates.length)]
}
