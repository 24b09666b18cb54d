/**
 * Exchange of observations of targets between nodes. State notes (draining, dead)
 * must reach every node immediately. Answering notes are refreshes and use the
 * remaining space of a message. A node does not forward a note that it has
 * already received, so notes stop spreading.
 */
import { LRUCache } from 'lru-cache'
import type { TargetNote } from '@wisteriavalve/schema'
import {
  ANSWERING_NOTES_QUEUED_MAX, ANSWERING_NOTE_REPEAT_MS, NOTES_TRACKED_MAX, NOTE_AGE_MAX_MS, NOTE_RETENTION_MS,
  STATE_NOTES_QUEUED_MAX, STATE_NOTE_REPEAT_MS
} from './constants.js'
import { createSendQueue, type SendQueue } from './send-queue.js'

type Observation = { note: TargetNote, observedMs: number }

export type NoteExchange = {
  /** Returns the notes that are new to this node and queues them for other nodes. */
  accept: (notes: readonly TargetNote[], nowMs: number) => TargetNote[]
  /** Notes to send, the least often sent first. */
  stateNotes: (nowMs: number) => Array<{ key: string, item: Observation }>
  answeringNotes: (nowMs: number) => Array<{ key: string, item: Observation }>
  recordSend: (key: string, limit: number) => void
  /** Drops all queued notes. */
  clear: () => void
}

/** What a target stated about itself. It may end and be stated again soon. */
const isStatement = (note: TargetNote): boolean => note.limitPerS !== undefined || note.pauseMs !== undefined

/** Whether a target ended under a request, or answered one under which targets had ended. */
const isAboutRequest = (note: TargetNote): boolean => note.crashedRequest !== undefined

/** Observations that all nodes must learn at once. */
export const isStateNote = (note: TargetNote): boolean => note.observation !== 'answering' || isStatement(note) || isAboutRequest(note)

const subjectOf = (note: TargetNote): string => {
  if (note.crashedRequest !== undefined) return `${note.observation}/${note.crashedRequest}`
  if (note.limitPerS !== undefined) return 'limit'
  if (note.pauseMs !== undefined) return 'pause'
  return isStateNote(note) ? note.observation : note.byProbe ? 'probed' : 'answering'
}

const keyOf = (note: TargetNote): string => `${note.service}/${note.targetId}/${subjectOf(note)}`

const repeatMs = (note: TargetNote): number => isStateNote(note) && !isStatement(note) && !isAboutRequest(note) ? STATE_NOTE_REPEAT_MS : ANSWERING_NOTE_REPEAT_MS

/** Returns the note with its age at the time of sending. */
export const withCurrentAge = ({ note, observedMs }: Observation, nowMs: number): TargetNote =>
  ({ ...note, ageMs: Math.max(0, Math.round(nowMs - observedMs)) })

export const createNoteExchange = (): NoteExchange => {
  const observedMsByKey = new LRUCache<string, number>({ max: NOTES_TRACKED_MAX })
  const stateQueue = createSendQueue<Observation>(STATE_NOTES_QUEUED_MAX)
  const answeringQueue = createSendQueue<Observation>(ANSWERING_NOTES_QUEUED_MAX)

  const isNew = (note: TargetNote, observedMs: number, nowMs: number): boolean => {
    const previousObservedMs = observedMsByKey.get(keyOf(note))
    if (previousObservedMs === undefined || nowMs - previousObservedMs > NOTE_RETENTION_MS) return true
    return observedMs - previousObservedMs > repeatMs(note)
  }

  const accept = (notes: readonly TargetNote[], nowMs: number): TargetNote[] => {
    const newNotes: TargetNote[] = []
    for (const note of notes) {
      const observedMs = nowMs - note.ageMs
      if (note.ageMs > NOTE_AGE_MAX_MS || !isNew(note, observedMs, nowMs)) continue
      observedMsByKey.set(keyOf(note), observedMs)
      const queue = isStateNote(note) ? stateQueue : answeringQueue
      queue.add(keyOf(note), { note, observedMs })
      newNotes.push(note)
    }
    return newNotes
  }

  /** Leaves out notes that the receiver would drop because of their age. */
  const unexpired = (queue: SendQueue<Observation>, nowMs: number) =>
    queue.ordered().filter(({ item }) => nowMs - item.observedMs <= NOTE_AGE_MAX_MS)

  return {
    accept,
    stateNotes: nowMs => unexpired(stateQueue, nowMs),
    answeringNotes: nowMs => unexpired(answeringQueue, nowMs),
    recordSend: (key, limit) => { stateQueue.recordSend(key, limit); answeringQueue.recordSend(key, limit) },
    clear: () => { stateQueue.clear(); answeringQueue.clear() }
  }
}
