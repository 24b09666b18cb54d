/**
 * State of all targets of one service as observed by one node.
 */
import { avoidTarget, effectiveLimit, isCongested } from './concurrency-limit.js'
import { applyReport } from './load-estimate.js'
import { createTableCore, currentRouting, isEvacuated, type TableCore } from './table-core.js'
import { applyLimitStatement, applyStatedLimit, ASK_AGAIN_DEFAULT_MS, limitStatementOf } from './request-limit.js'
import { applyTargetList } from './target-list.js'
import { collectNotes, applyPeerNote } from './target-notes.js'
import { applyDraining, applyFirstByte, applyOutcome, applyProbe } from './target-outcomes.js'
import { applyPause, isPaused } from './target-pause.js'
import { addStartTime, removeStartTime, slowStartShare } from './target-state.js'
import { applyWarmup, assumeCold, createWarmupState, isCold, needsWarmupPermit, recordWarmupQuery, type WarmupReason } from './warmup.js'
import { zoneObstacle } from './zone-limits.js'
import type { TargetState, TargetTable, TargetTableOptions } from './types.js'
import type { TargetStatus } from '@wisteriavalve/schema'

/** At 0.95 the hedge budget was used up before the slowest requests. As only idempotent requests are hedged, a lower quantile still fits the budget. */
const HEDGE_QUANTILE = 0.945

/** Consecutive load probes answered without a report after which the service is assumed not to report its load. */
const PROBES_WITHOUT_REPORT_MAX = 3

const toStatus = (core: TableCore, state: TargetState, connections: number, nowMs: number): TargetStatus => {
  const { target, lifecycle, firstBytes } = state
  const status: TargetStatus = {
    service: core.options.service,
    targetId: target.id,
    host: target.host,
    port: target.port,
    zone: target.zone,
    health: state.health,
    reason: lifecycle.context.reason + (state.isUnlisted && state.health !== 'gone' ? '; not in the newest list' : '') + (isEvacuated(core, state) ? '; its zone is evacuated' : ''),
    inFlight: state.inFlight,
    limit: effectiveLimit(state),
    connections
  }
  if (state.reportedInFlight !== undefined) {
    status.reportedInFlight = state.reportedInFlight
    status.reportAgeMs = Math.max(0, Math.round(nowMs - state.lastReportMs))
  }
  if (state.requestLimitPerS !== undefined) status.requestLimitPerS = state.requestLimitPerS
  if (isPaused(state, nowMs)) status.pausedMs = Math.round(state.pausedUntilMs - nowMs)
  const p50 = firstBytes.quantile(0.5)
  const p99 = firstBytes.quantile(0.99)
  if (p50 !== undefined) status.firstByteP50Ms = p50
  if (p99 !== undefined) status.firstByteP99Ms = p99
  return status
}

/** Marks all estimates as expired and clears the penalties, which were valid only before the pause. */
const expireEstimates = (core: TableCore): void => {
  for (const state of core.states.values()) {
    state.lastReportMs = -Infinity
    state.latencyUpdatedMs = -Infinity
    state.penaltyInFlight = 0
  }
  core.isStale = true
}

/** The slots of a target without a number of its own are those of its service. */
const resizeTarget = (state: TargetState, slotsPerTarget: number, connectionShare: number): void => {
  if (state.target.slots === undefined && !state.reportsLoad) state.slots = slotsPerTarget
  state.limit = Math.min(state.limit, connectionShare)
}

export const createTargetTable = (initial: TargetTableOptions): TargetTable => {
  const options = { ...initial }
  const core = createTableCore(options)
  const { states, firstBytes } = core
  let probesWithoutReport = 0

  /** Calls for targets that are no longer in the table have no effect. */
  const withState = (targetId: string, act: (state: TargetState) => void): void => {
    const state = states.get(targetId)
    if (state) act(state)
  }

  /** Time until which no stated cold period can end. */
  let nextWarmupEndMs = Infinity

  const reportWarmup = (state: TargetState, reason: WarmupReason, nowMs: number): void => {
    const { warmup, target } = state
    if (isCold(state, nowMs)) nextWarmupEndMs = Math.min(nextWarmupEndMs, warmup.coldUntilMs > nowMs ? warmup.coldUntilMs : Infinity)
    if (isCold(state, nowMs) === warmup.isReportedCold) return
    warmup.isReportedCold = !warmup.isReportedCold
    options.onWarmup?.(target.id, warmup.isReportedCold, reason)
  }

  const reportAll = (nowMs: number): void => {
    nextWarmupEndMs = Infinity
    for (const state of states.values()) reportWarmup(state, isCold(state, nowMs) ? 'listed' : 'time-over', nowMs)
  }

  const assumeUnreachable = (state: TargetState, nowMs: number): void => {
    if (!options.warmup) return
    assumeCold(state)
    reportWarmup(state, 'connect-failed', nowMs)
  }

  const capacity = (nowMs: number): number => {
    let sum = 0
    for (const state of currentRouting(core, nowMs).candidates) sum += effectiveLimit(state) * slowStartShare(state, nowMs)
    return Math.ceil(Math.min(sum, core.serviceLimit.current()))
  }

  return {
    setTargets: (targets, nowMs) => {
      applyTargetList(core, targets, nowMs)
      reportAll(nowMs)
    },
    resize: ({ slotsPerTarget, connectionShare, warmup }) => {
      Object.assign(options, { slotsPerTarget, connectionShare, warmup })
      core.routing.warmup = warmup
      if (!warmup) for (const state of states.values()) state.warmup = createWarmupState()
      for (const state of states.values()) resizeTarget(state, slotsPerTarget, connectionShare)
    },
    setEvacuatedZones: zones => {
      options.evacuatedZones = zones
      core.isStale = true
    },
    isEvacuated: targetId => {
      const state = states.get(targetId)
      return state !== undefined && isEvacuated(core, state)
    },
    zoneObstacle: restriction => zoneObstacle(states.values(), options.evacuatedZones, restriction),
    recordDraining: (targetId, source, nowMs) => withState(targetId, state => applyDraining(core, state, source, nowMs, nowMs)),
    recordStart: (targetId, nowMs) => withState(targetId, state => {
      addStartTime(state, nowMs)
      core.inFlight++
    }),
    recordFirstByte: (targetId, firstByteMs, nowMs) => withState(targetId, state => applyFirstByte(core, state, firstByteMs, nowMs)),
    recordOutcome: (targetId, outcome, durationMs, nowMs) => withState(targetId, state => {
      core.inFlight = Math.max(0, core.inFlight - 1)
      removeStartTime(state, nowMs - durationMs)
      applyOutcome(core, state, outcome, durationMs, nowMs)
      if (outcome === 'connect-failed') assumeUnreachable(state, nowMs)
    }),
    recordLoadReport: (targetId, report, nowMs) => withState(targetId, state => {
      applyReport(state, report, core.routing, options.slotsPerTarget, nowMs)
      if (state.lastReportMs !== nowMs) return
      probesWithoutReport = 0
      state.reportsLoad = true
      core.serviceLimit.record(isCongested(state.reportedInFlight ?? 0, state.slots), core.inFlight, nowMs)
    }),
    recordStatedLimit: (targetId, stated, writtenMs, nowMs) => withState(targetId, state => {
      if (applyStatedLimit(state, stated, writtenMs, nowMs)) options.onRequestLimit?.(targetId, state.requestLimitPerS)
    }),
    recordPause: (targetId, pauseMs, nowMs) => withState(targetId, state => {
      if (!applyPause(state, nowMs + pauseMs)) return
      state.isPauseUnshared = true
      options.onPause?.(targetId, pauseMs)
    }),
    isPaused: (targetId, nowMs) => nowMs < (states.get(targetId)?.pausedUntilMs ?? -Infinity),
    requestLimitPerS: targetId => states.get(targetId)?.requestLimitPerS,
    limitStatement: (targetId, nowMs) => {
      const state = states.get(targetId)
      return state ? limitStatementOf(state, nowMs) : { limitPerS: null, ageMs: 0 }
    },
    recordLimitStatement: (targetId, statement, nowMs) => withState(targetId, state => {
      if (applyLimitStatement(state, statement, nowMs)) options.onRequestLimit?.(targetId, state.requestLimitPerS)
    }),
    recordPermitDenied: (targetId, retryAfterMs, nowMs, askAgainMs = ASK_AGAIN_DEFAULT_MS) => withState(targetId, state => {
      state.nextPermitMs = nowMs + retryAfterMs
      state.askAgainMs = nowMs + askAgainMs
    }),
    nextPermitMs: targetId => states.get(targetId)?.nextPermitMs ?? -Infinity,
    recordWarmup: (targetId, remainingMs, nowMs) => withState(targetId, state => {
      if (!options.warmup) return
      applyWarmup(state, remainingMs, nowMs)
      reportWarmup(state, 'stated', nowMs)
    }),
    expectWarmup: (zone, nowMs) => {
      if (!options.warmup) return
      for (const state of states.values()) {
        if (state.target.zone !== zone) continue
        assumeCold(state)
        reportWarmup(state, 'evacuation-ended', nowMs)
      }
    },
    needsWarmupPermit: (targetId, nowMs) => {
      const state = states.get(targetId)
      return state !== undefined && needsWarmupPermit(state, options.warmup, nowMs)
    },
    warmupRatePerS: () => options.warmup?.ratePerS ?? 0,
    recordWarmupQuery: (targetId, atMs, nowMs) => withState(targetId, state => recordWarmupQuery(state, options.warmup, atMs, nowMs)),
    recordWarmupPermitDenied: (targetId, retryAfterMs, nowMs) => withState(targetId, ({ warmup }) => { warmup.nextPermitMs = nowMs + retryAfterMs }),
    nextWarmupPermitMs: targetId => states.get(targetId)?.warmup.nextPermitMs ?? -Infinity,
    coldCount: nowMs => [...states.values()].filter(state => state.health !== 'gone' && isCold(state, nowMs)).length,
    recordHealthProbe: (targetId, result, nowMs) => withState(targetId, state => {
      applyProbe(core, state, result, nowMs)
      if (!options.warmup) return
      if (result.ok) applyWarmup(state, undefined, nowMs)
      else if (result.failure === 'connect-failed') assumeCold(state)
      reportWarmup(state, result.ok ? 'stated' : 'connect-failed', nowMs)
    }),
    recordLoadProbeWithoutReport: (targetId, nowMs) => withState(targetId, state => {
      probesWithoutReport++
      // The target is reachable, so its load is assumed to be the requests of this node alone.
      applyReport(state, { inFlight: state.inFlight, slowdown: 1 }, core.routing, options.slotsPerTarget, nowMs)
    }),
    // Only health responses show that a target is warm.
    supportsLoadProbes: () => probesWithoutReport < PROBES_WITHOUT_REPORT_MAX || (options.warmup?.ratePerS ?? 0) > 0,
    recordLoadProbeFailure: (targetId, nowMs, isUnreachable = false) => withState(targetId, state => {
      avoidTarget(state, nowMs)
      if (isUnreachable) assumeUnreachable(state, nowMs)
    }),
    recordPeerObservation: (note, nowMs) => withState(note.targetId, state => applyPeerNote(core, state, note, nowMs)),
    resumeAfterPause: () => {
      expireEstimates(core)
      if (options.warmup) for (const state of states.values()) assumeCold(state)
    },
    takeNotes: nowMs => collectNotes(core, nowMs),
    lastResponseMs: targetId => states.get(targetId)?.lastResponseMs,
    capacity,
    hedgeDelayMs: () => firstBytes.quantile(HEDGE_QUANTILE),
    firstByteP99Ms: targetId => states.get(targetId)?.firstBytes.quantile(0.99),
    target: targetId => states.get(targetId)?.target,
    slowdown: targetId => states.get(targetId)?.slowdown ?? 1,
    snapshot: (nowMs, connections) => {
      currentRouting(core, nowMs)
      return [...states.values()].map(state => toStatus(core, state, connections?.get(state.target.id) ?? 0, nowMs))
    },
    routing: nowMs => {
      if (nowMs >= nextWarmupEndMs) reportAll(nowMs)
      return currentRouting(core, nowMs)
    }
  }
}
