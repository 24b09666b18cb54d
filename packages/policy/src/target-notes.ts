/**
 * Target observations that nodes exchange. A draining observation is always
 * accepted. A dead observation only makes the target the last choice for a short
 * time, because the peer may be on the other side of a network partition.
 */
import type { TargetNote } from '@wisteriavalve/schema'
import { AVOID_MAX_MS } from './concurrency-limit.js'
import { applyReport } from './load-estimate.js'
import { applyLimitStatement, limitStatementOf } from './request-limit.js'
import type { TableCore } from './table-core.js'
import { applyDraining } from './target-outcomes.js'
import { applyPause } from './target-pause.js'
import { addPenalty } from './target-state.js'
import type { TargetState } from './types.js'

/** Minimum time between two notes on the load of a target. */
const LOAD_NOTE_INTERVAL_MS = 1000

/** A draining observation made before the restart refers to the previous process. */
const isOutdated = (state: TargetState, observedMs: number): boolean =>
  state.health === 'cold' && observedMs <= state.coldSinceMs

export const applyPeerNote = (core: TableCore, state: TargetState, note: TargetNote, nowMs: number): void => {
  const observedMs = nowMs - note.ageMs
  if (note.observation === 'draining' && !isOutdated(state, observedMs)) {
    if (note.isStated === true) state.hasStatedDraining = true
    applyDraining(core, state, 'peer', observedMs, nowMs)
  }
  if (note.observation === 'dead' && (state.lastResponseMs ?? -Infinity) < observedMs) {
    addPenalty(state, state.slots, core.routing.slowLatencyMs, nowMs)
    state.avoidUntilMs = Math.max(state.avoidUntilMs, nowMs + AVOID_MAX_MS)
  }
  if (note.limitPerS !== undefined && applyLimitStatement(state, { limitPerS: note.limitPerS, ageMs: note.ageMs }, nowMs)) {
    core.options.onRequestLimit?.(state.target.id, state.requestLimitPerS)
  }
  if (note.pauseMs !== undefined && applyPause(state, observedMs + note.pauseMs)) core.options.onPause?.(state.target.id, note.pauseMs - note.ageMs)
  if (note.inFlight !== undefined) {
    applyReport(state, { inFlight: note.inFlight }, core.routing, core.options.slotsPerTarget, observedMs)
  }
}

const isDue = (state: TargetState, nowMs: number): boolean =>
  state.pendingNote !== undefined && (state.pendingNote.observation !== 'answering' || nowMs - state.lastNoteMs >= LOAD_NOTE_INTERVAL_MS)

const toNote = (core: TableCore, state: TargetState, nowMs: number): TargetNote => {
  const { observation, atMs } = state.pendingNote ?? { observation: 'answering' as const, atMs: nowMs }
  const note: TargetNote = {
    service: core.options.service,
    targetId: state.target.id,
    observation,
    ageMs: Math.max(0, Math.round(nowMs - atMs))
  }
  if (observation === 'draining' && state.hasStatedDraining) note.isStated = true
  // The note has a single age, so the load is included only with an observation of the same time.
  if (observation === 'answering' && state.reportedInFlight !== undefined) note.inFlight = Math.round(state.reportedInFlight)
  return note
}

const toLimitNote = (core: TableCore, state: TargetState, nowMs: number): TargetNote => {
  const { limitPerS, ageMs } = limitStatementOf(state, nowMs)
  return { service: core.options.service, targetId: state.target.id, observation: 'answering', ageMs: Math.round(ageMs), ...(limitPerS !== null && { limitPerS }) }
}

const toPauseNote = (core: TableCore, { target, pausedUntilMs }: TargetState, nowMs: number): TargetNote =>
  ({ service: core.options.service, targetId: target.id, observation: 'answering', ageMs: 0, pauseMs: Math.max(0, Math.round(pausedUntilMs - nowMs)) })

export const collectNotes = (core: TableCore, nowMs: number): TargetNote[] => {
  const notes: TargetNote[] = []
  for (const state of core.states.values()) {
    if (state.isLimitUnshared) notes.push(toLimitNote(core, state, nowMs))
    state.isLimitUnshared = false
    if (state.isPauseUnshared) notes.push(toPauseNote(core, state, nowMs))
    state.isPauseUnshared = false
    if (!isDue(state, nowMs)) continue
    notes.push(toNote(core, state, nowMs))
    delete state.pendingNote
    state.lastNoteMs = nowMs
  }
  return notes
}
