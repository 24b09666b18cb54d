/**
 * Selects the peer that gets the requests of a node that is cut off from the
 * targets. This answers the loss of the network between some nodes and all
 * targets, often those of one zone: peers of the own zone are preferred until one
 * of them says that it is cut off as well.
 */
import type { Random } from '@wisteriavalve/common'
import { isPaused } from './target-pause.js'
import type { TargetState } from './types.js'

/** @param peers state of the peers; one that refused requests for want of targets is paused */
export const selectPeer = (
  peers: readonly TargetState[], { zone, exclude }: { zone: string, exclude: ReadonlySet<string> }, nowMs: number, random: Random
): TargetState | undefined => {
  const usable = peers.filter(state => !isPaused(state, nowMs) && !exclude.has(state.target.id))
  const isZoneCutOff = peers.some(state => state.target.zone === zone && isPaused(state, nowMs))
  const near = usable.filter(({ target }) => (target.zone === zone) !== isZoneCutOff)
  const candidates = near.length > 0 ? near : usable
  return candidates.length === 0 ? undefined : candidates[random.int(candidates.length)]
}
