/**
 * Selects the node that issues the permits of a target, and the part of the
 * limit that it may issue.
 */
import { rendezvousOrder } from '@wisteriavalve/common'
import type { MembershipView } from './types.js'

/** Ids of the alive nodes in the order in which they own the permits of a target; the first one that answers is the owner. */
export const rankPermitOwners = ({ selfId, members }: MembershipView, service: string, targetId: string): string[] => {
  const ids = members.filter(({ nodeId, state }) => nodeId === selfId || state === 'alive').map(({ nodeId }) => nodeId)
  return rendezvousOrder(`permits/${service}/${targetId}`, ids)
}

/** Time for which nodes that are no longer visible still count, because they may be on the other side of a partition. */
const REMEMBERED_MS = 60_000
/** A node that just started has not discovered its fleet, and would take the whole limit of each target for itself. */
const START_HOLD_MS = 2_000
const SUBSTITUTE_SHARE = 0.5

/**
 * Part of a limit that a node issues by its rank in its own view: the first owner
 * may still issue permits to nodes that reach it. Each further substitute issues
 * half as much, because each node may take several others for failed; all of them
 * together stay within twice the limit.
 */
export const substituteShare = (rank: number): number => SUBSTITUTE_SHARE ** Math.max(0, rank)

export type PermitShare = {
  /**
   * Part of a limit that this node may issue, from 0 to 1. The sides of a
   * partition together stay within the limit, because each counts the nodes that
   * it sees against those that it saw before.
   */
  current: (visibleCount: number, nowMs: number) => number
}

export const createPermitShare = (startMs: number): PermitShare => {
  let periodStartMs = startMs
  let countMax = 0
  let previousCountMax = 0

  const recordCount = (visibleCount: number, nowMs: number): void => {
    if (nowMs - periodStartMs >= REMEMBERED_MS) {
      previousCountMax = nowMs - periodStartMs < 2 * REMEMBERED_MS ? countMax : 0
      countMax = 0
      periodStartMs = nowMs
    }
    countMax = Math.max(countMax, visibleCount)
  }

  return {
    current: (visibleCount, nowMs) => {
      recordCount(visibleCount, nowMs)
      if (nowMs - startMs < START_HOLD_MS) return 0
      return visibleCount / Math.max(countMax, previousCountMax)
    }
  }
}
