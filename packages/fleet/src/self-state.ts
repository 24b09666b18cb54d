/**
 * What a node says about itself. Only the node itself raises its incarnation:
 * to refute a report, after a pause, on leaving, and for a load change that the
 * whole fleet should know. A restarted node learns from its peers' first
 * answers which incarnation they hold and goes above it, so its wall clock
 * does not matter.
 */
import type { MemberState, MemberUpdate } from '@wisteriavalve/schema'
import { LOAD_ANNOUNCE_INTERVAL_MS, LOAD_STEP_PERCENT, OVERLOAD_PERCENT } from './constants.js'
import { rankOf } from './member-lifecycle.js'

export type SelfState = {
  get: () => MemberUpdate
  /** Raises the incarnation when a report about this node is wrong; true if it did. */
  refute: (report: MemberUpdate) => boolean
  renew: (state?: MemberState) => void
  setLoadPercent: (loadPercent: number) => void
  /** Announces a large load change with a new incarnation, at a bounded rate; true if it did. */
  announceLoad: (nowMs: number) => boolean
}

const ADDRESS_FIELDS = ['host', 'callerPort', 'gossipPort', 'peerPort', 'zone'] as const

export const createSelfState = (initial: MemberUpdate): SelfState => {
  let self = initial
  let announced = { loadPercent: initial.loadPercent ?? 0, atMs: -Infinity }

  const isWrong = (report: MemberUpdate): boolean =>
    report.incarnation > self.incarnation ||
    (report.incarnation === self.incarnation &&
      (rankOf(report.state) > rankOf(self.state) || ADDRESS_FIELDS.some(field => report[field] !== self[field])))

  const refute = (report: MemberUpdate): boolean => {
    if (!isWrong(report)) return false
    self = { ...self, incarnation: report.incarnation + 1 }
    return true
  }

  const announceLoad = (nowMs: number): boolean => {
    const loadPercent = self.loadPercent ?? 0
    const crossed = (loadPercent >= OVERLOAD_PERCENT) !== (announced.loadPercent >= OVERLOAD_PERCENT)
    const isLarge = Math.abs(loadPercent - announced.loadPercent) >= LOAD_STEP_PERCENT
    if ((!crossed && !isLarge) || nowMs - announced.atMs < LOAD_ANNOUNCE_INTERVAL_MS) return false
    announced = { loadPercent, atMs: nowMs }
    self = { ...self, incarnation: self.incarnation + 1 }
    return true
  }

  return {
    get: () => self,
    refute,
    renew: state => { self = { ...self, state: state ?? self.state, incarnation: self.incarnation + 1 } },
    setLoadPercent: loadPercent => { self = { ...self, loadPercent: Math.max(0, Math.min(1000, Math.round(loadPercent))) } },
    announceLoad
  }
}
