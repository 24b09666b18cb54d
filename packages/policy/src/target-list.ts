/**
 * Applies a list of targets. The list may be out of date, so it only adds
 * targets: a target that a newer list omits stays in use until a failed attempt
 * confirms that it is gone.
 */
import type { ListedTarget } from '@wisteriavalve/common'
import { dispatchHealthEvent, type TableCore } from './table-core.js'
import { createTargetState } from './target-state.js'
import { applyListedWarmup, applyStart } from './warmup.js'
import type { TargetState } from './types.js'

const addTarget = (core: TableCore, target: ListedTarget, isFirstList: boolean, nowMs: number): void => {
  const { slotsPerTarget, connectionShare } = core.options
  // The targets of the first list were serving before this node started; only later targets start cold.
  const health = isFirstList && target.isNew !== true
    ? { initial: 'ready' as const, reason: 'listed when this node started', nowMs }
    : { initial: 'cold' as const, reason: 'new in the list of targets; slow start', nowMs }
  const slots = target.slots ?? slotsPerTarget
  const state = createTargetState(target, slots, Math.min(slots, connectionShare), health)
  if (core.options.warmup) {
    if (health.initial === 'cold') applyStart(state, core.options.warmup, nowMs)
    applyListedWarmup(state, undefined, nowMs)
  }
  core.states.set(target.id, state)
  core.isStale = true
  core.nextTransitionMs = Math.min(core.nextTransitionMs, state.lifecycle.context.untilMs)
  core.options.onHealth?.(target.id, state.health, health.reason, nowMs)
}

const isSameAddress = (a: ListedTarget, b: ListedTarget): boolean => a.host === b.host && a.port === b.port

/**
 * A known id with a new address or incarnation is a different server, and so is
 * a target that was gone. A target that left the list while draining and is
 * listed again was only missing from the list; its draining state is discarded,
 * unless the target itself stated it: no list knows better.
 */
const isReplaced = (existing: TargetState, target: ListedTarget): boolean => {
  if (!isSameAddress(existing.target, target) || existing.target.incarnation !== target.incarnation) return true
  if (existing.hasStatedDraining) return false
  return existing.health === 'gone' || (existing.isUnlisted && existing.health === 'draining')
}

const unlistTarget = (core: TableCore, state: TargetState, nowMs: number): void => {
  state.isUnlisted = true
  if (state.health !== 'draining' || state.inFlight > 0) return
  dispatchHealthEvent(core, state, { type: 'LEFT', reason: 'drained and left the list of targets', nowMs })
}

export const applyTargetList = (core: TableCore, targets: readonly ListedTarget[], nowMs: number): void => {
  const isFirstList = core.states.size === 0
  const listed = new Set<string>()
  for (const target of targets) {
    listed.add(target.id)
    const existing = core.states.get(target.id)
    if (!existing || isReplaced(existing, target)) {
      addTarget(core, target, isFirstList, nowMs)
      continue
    }
    if (existing.target.zone !== target.zone) core.isStale = true
    const previousLeftMs = existing.target.warmupLeftMs
    existing.target = target
    if (core.options.warmup) applyListedWarmup(existing, previousLeftMs, nowMs)
    existing.isUnlisted = false
  }
  for (const state of core.states.values()) {
    if (!listed.has(state.target.id) && state.health !== 'gone') unlistTarget(core, state, nowMs)
  }
}

/** Call after each failed attempt or finished drain of a target that is no longer listed. */
export const confirmRemoval = (core: TableCore, state: TargetState, isUnreachable: boolean, nowMs: number): void => {
  if (!state.isUnlisted || state.health === 'gone') return
  if (state.health === 'draining' ? state.inFlight > 0 : !isUnreachable) return
  dispatchHealthEvent(core, state, { type: 'LEFT', reason: 'left the list of targets and does not answer', nowMs })
}
