/**
 * The member state that a node announces about itself. Only the node itself
 * raises its incarnation: to refute an update, after a pause, when leaving, and
 * for a load change that must reach the whole fleet. The first messages of the
 * peers show a restarted node the incarnation that they have recorded for it. The
 * node then sets a higher one, so its wall clock does not matter.
 */
import type { MemberState, MemberUpdate } from '@wisteriavalve/schema'
import { CUT_OFF_ANNOUNCE_INTERVAL_MS, LOAD_ANNOUNCE_INTERVAL_MS, LOAD_STEP_PERCENT, OVERLOAD_PERCENT, UNREACHABLE_LOAD_PERCENT } from './constants.js'
import { rankOf } from './member-lifecycle.js'

export type SelfState = {
  get: () => MemberUpdate
  /** Raises the incarnation when an update about this node is wrong; returns whether it did. */
  refute: (update: MemberUpdate) => boolean
  raiseIncarnation: (state?: MemberState) => void
  setLoadPercent: (loadPercent: number) => void
  /** Announces a large load change with a new incarnation, at a limited rate; returns whether it did. */
  announceLoad: (nowMs: number) => boolean
}

const ADDRESS_FIELDS = ['host', 'callerPort', 'gossipPort', 'peerPort', 'zone'] as const

export const createSelfState = (initial: MemberUpdate): SelfState => {
  let self = initial
  let lastAnnounced = { loadPercent: initial.loadPercent ?? 0, atMs: -Infinity }

  const contradictsSelf = (update: MemberUpdate): boolean =>
    update.incarnation > self.incarnation ||
    (update.incarnation === self.incarnation &&
      (rankOf(update.state) > rankOf(self.state) || ADDRESS_FIELDS.some(field => update[field] !== self[field])))

  const refute = (update: MemberUpdate): boolean => {
    if (!contradictsSelf(update)) return false
    self = { ...self, incarnation: update.incarnation + 1 }
    return true
  }

  /** Whether the load has crossed a threshold since it was last announced. */
  const hasCrossed = (thresholdPercent: number): boolean =>
    ((self.loadPercent ?? 0) >= thresholdPercent) !== (lastAnnounced.loadPercent >= thresholdPercent)

  const announceLoad = (nowMs: number): boolean => {
    const loadPercent = self.loadPercent ?? 0
    const isCutOffChange = hasCrossed(UNREACHABLE_LOAD_PERCENT)
    const isLarge = hasCrossed(OVERLOAD_PERCENT) || Math.abs(loadPercent - lastAnnounced.loadPercent) >= LOAD_STEP_PERCENT
    const intervalMs = isCutOffChange ? CUT_OFF_ANNOUNCE_INTERVAL_MS : LOAD_ANNOUNCE_INTERVAL_MS
    if ((!isCutOffChange && !isLarge) || nowMs - lastAnnounced.atMs < intervalMs) return false
    lastAnnounced = { loadPercent, atMs: nowMs }
    self = { ...self, incarnation: self.incarnation + 1 }
    return true
  }

  return {
    get: () => self,
    refute,
    raiseIncarnation: state => { self = { ...self, state: state ?? self.state, incarnation: self.incarnation + 1 } },
    setLoadPercent: loadPercent => { self = { ...self, loadPercent: Math.max(0, Math.min(UNREACHABLE_LOAD_PERCENT, Math.round(loadPercent))) } },
    announceLoad
  }
}
