/**
 * State of all targets of one service as one node sees them.
 */
import { avoidTarget, effectiveLimit, isCongested } from './concurrency-limit.js'
import { takeReport } from './load-estimate.js'
import { createTableCore, currentRouting, type TableCore } from './table-core.js'
import { takeTargets } from './target-list.js'
import { collectNotes, takePeerNote } from './target-notes.js'
import { takeDraining, takeFirstByte, takeOutcome, takeProbe } from './target-outcomes.js'
import { addStart, removeStart, slowStartShare } from './target-state.js'
import type { TargetState, TargetTable, TargetTableOptions } from './types.js'
import type { TargetStatus } from '@wisteriavalve/schema'

/** At 95% the hedge share was used up before the slowest requests; the smaller share of idempotent requests leaves room below it. */
const HEDGE_QUANTILE = 0.945

/** Answers in a row without a report after which a service is taken not to tell its load. */
const UNTOLD_MAX = 3

const toStatus = (core: TableCore, state: TargetState, connections: number, nowMs: number): TargetStatus => {
  const { target, lifecycle, firstBytes } = state
  const status: TargetStatus = {
    service: core.options.service,
    targetId: target.id,
    host: target.host,
    port: target.port,
    zone: target.zone,
    health: state.health,
    reason: lifecycle.context.reason + (state.dropped && state.health !== 'gone' ? '; not in the newest list' : ''),
    inFlight: state.inFlight,
    limit: effectiveLimit(state),
    connections
  }
  if (state.reportedInFlight !== undefined) {
    status.reportedInFlight = state.reportedInFlight
    status.reportAgeMs = Math.max(0, Math.round(nowMs - state.reportMs))
  }
  const p50 = firstBytes.quantile(0.5)
  const p99 = firstBytes.quantile(0.99)
  if (p50 !== undefined) status.firstByteP50Ms = p50
  if (p99 !== undefined) status.firstByteP99Ms = p99
  return status
}

/** Makes all estimates look as old as they are, and drops what was only true before the pause. */
const wakeTargets = (core: TableCore): void => {
  for (const state of core.states.values()) {
    state.reportMs = -Infinity
    state.latencyUpdatedMs = -Infinity
    state.penaltyInFlight = 0
  }
  core.stale = true
}

export const createTargetTable = (options: TargetTableOptions): TargetTable => {
  const core = createTableCore(options)
  const { states, firstBytes } = core
  let untoldCount = 0

  /** Calls for targets that are not known any more have no effect. */
  const withState = (targetId: string, act: (state: TargetState) => void): void => {
    const state = states.get(targetId)
    if (state) act(state)
  }

  const capacity = (nowMs: number): number => {
    let sum = 0
    for (const state of currentRouting(core, nowMs).candidates) sum += effectiveLimit(state) * slowStartShare(state, nowMs)
    return Math.ceil(Math.min(sum, core.serviceLimit.current()))
  }

  return {
    setTargets: (targets, nowMs) => takeTargets(core, targets, nowMs),
    noteDraining: (targetId, source, nowMs) => withState(targetId, state => takeDraining(core, state, source, nowMs, nowMs)),
    noteStarted: (targetId, nowMs) => withState(targetId, state => {
      addStart(state, nowMs)
      core.inFlight++
    }),
    noteFirstByte: (targetId, firstByteMs, nowMs) => withState(targetId, state => takeFirstByte(core, state, firstByteMs, nowMs)),
    noteFinished: (targetId, outcome, durationMs, nowMs) => withState(targetId, state => {
      core.inFlight = Math.max(0, core.inFlight - 1)
      removeStart(state, nowMs - durationMs)
      takeOutcome(core, state, outcome, durationMs, nowMs)
    }),
    noteReport: (targetId, report, nowMs) => withState(targetId, state => {
      takeReport(state, report, core.routing, options.slotsPerTarget, nowMs)
      if (state.reportMs !== nowMs) return
      untoldCount = 0
      state.reportsLoad = true
      core.serviceLimit.note(isCongested(state.reportedInFlight ?? 0, state.slots), core.inFlight, nowMs)
    }),
    noteProbe: (targetId, result, nowMs) => withState(targetId, state => takeProbe(core, state, result, nowMs)),
    noteUntold: (targetId, nowMs) => withState(targetId, state => {
      untoldCount++
      // It answered, so with what this node has sent to it, it is as good as known.
      takeReport(state, { inFlight: state.inFlight, slowdown: 1 }, core.routing, options.slotsPerTarget, nowMs)
    }),
    tellsLoad: () => untoldCount < UNTOLD_MAX,
    noteUnwell: (targetId, nowMs) => withState(targetId, state => avoidTarget(state, nowMs)),
    notePeer: (note, nowMs) => withState(note.targetId, state => takePeerNote(core, state, note, nowMs)),
    wake: () => wakeTargets(core),
    takeNotes: nowMs => collectNotes(core, nowMs),
    lastAnswerMs: targetId => states.get(targetId)?.lastAnswerMs,
    capacity,
    hedgeDelayMs: () => firstBytes.quantile(HEDGE_QUANTILE),
    firstByteP99Ms: targetId => states.get(targetId)?.firstBytes.quantile(0.99),
    target: targetId => states.get(targetId)?.target,
    slowdown: targetId => states.get(targetId)?.slowdown ?? 1,
    snapshot: (nowMs, connections) => {
      currentRouting(core, nowMs)
      return [...states.values()].map(state => toStatus(core, state, connections?.get(state.target.id) ?? 0, nowMs))
    },
    routing: nowMs => currentRouting(core, nowMs)
  }
}
