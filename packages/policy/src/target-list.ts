/**
 * Takes over a list of targets. The list lags, so it only adds: a target that
 * a newer list drops stays in use until a failed attempt confirms that it is
 * gone.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import { sendHealth, type TableCore } from './table-core.js'
import { createTargetState } from './target-state.js'
import type { TargetState } from './types.js'

const addTarget = (core: TableCore, target: ListedTarget, isFirstList: boolean, nowMs: number): void => {
  const { slotsPerTarget, connectionShare } = core.options
  // The targets of the first list served before this node came; only later ones start cold.
  const health = isFirstList && target.isNew !== true
    ? { initial: 'ready' as const, reason: 'listed when this node started', nowMs }
    : { initial: 'cold' as const, reason: 'new in the list of targets; slow start', nowMs }
  const slots = target.slots ?? slotsPerTarget
  const state = createTargetState(target, slots, Math.min(slots, connectionShare), health)
  core.states.set(target.id, state)
  core.stale = true
  core.dueMs = Math.min(core.dueMs, state.lifecycle.context.untilMs)
  core.options.onHealth?.(target.id, state.health, health.reason, nowMs)
}

const isSameAddress = (a: ListedTarget, b: ListedTarget): boolean => a.host === b.host && a.port === b.port

/**
 * A new address or start under a known id is another server, and so is one
 * that left before. One that was dropped while it drained and is listed again
 * had only lapsed from the list.
 */
const isReplaced = (known: TargetState, target: ListedTarget): boolean =>
  known.health === 'gone' || !isSameAddress(known.target, target) || known.target.incarnation !== target.incarnation ||
  (known.dropped && known.health === 'draining')

const dropTarget = (core: TableCore, state: TargetState, nowMs: number): void => {
  state.dropped = true
  if (state.health !== 'draining' || state.inFlight > 0) return
  sendHealth(core, state, { type: 'LEFT', reason: 'drained and left the list of targets', nowMs })
}

export const takeTargets = (core: TableCore, targets: readonly ListedTarget[], nowMs: number): void => {
  const isFirstList = core.states.size === 0
  const listed = new Set<string>()
  for (const target of targets) {
    listed.add(target.id)
    const known = core.states.get(target.id)
    if (!known || isReplaced(known, target)) {
      addTarget(core, target, isFirstList, nowMs)
      continue
    }
    known.target = target
    known.dropped = false
  }
  for (const state of core.states.values()) {
    if (!listed.has(state.target.id) && state.health !== 'gone') dropTarget(core, state, nowMs)
  }
}

/** To be called after each failed attempt or finished drain of a dropped target. */
export const confirmDropped = (core: TableCore, state: TargetState, isUnreachable: boolean, nowMs: number): void => {
  if (!state.dropped || state.health === 'gone') return
  if (state.health === 'draining' ? state.inFlight > 0 : !isUnreachable) return
  sendHealth(core, state, { type: 'LEFT', reason: 'left the list of targets and does not answer', nowMs })
}
