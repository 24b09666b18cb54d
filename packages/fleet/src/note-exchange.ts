/**
 * Observations of targets that nodes share. State notes (draining, dead) are
 * news that every node needs at once; answering notes are refreshes that fill
 * the room that is left. A note that a node knows already is not passed on, so
 * notes die out.
 */
import { LRUCache } from 'lru-cache'
import type { TargetNote } from '@wisteriavalve/schema'
import {
  ANSWER_NOTES_QUEUED_MAX, ANSWER_NOTE_REPEAT_MS, NOTES_KNOWN_MAX, NOTE_AGE_MAX_MS, NOTE_MEMORY_MS,
  STATE_NOTES_QUEUED_MAX, STATE_NOTE_REPEAT_MS
} from './constants.js'
import { createSendQueue, type SendQueue } from './send-queue.js'

type Observation = { note: TargetNote, observedMs: number }

export type NoteExchange = {
  /** Notes that are news to this node; they are queued for others. */
  accept: (notes: readonly TargetNote[], nowMs: number) => TargetNote[]
  /** Notes to send, those that were sent least first. */
  stateNotes: (nowMs: number) => Array<{ key: string, item: Observation }>
  answerNotes: (nowMs: number) => Array<{ key: string, item: Observation }>
  noteSent: (key: string, limit: number) => void
  /** Drops what waits to be sent. */
  clear: () => void
}

const isState = (note: TargetNote): boolean => note.observation !== 'answering'

const keyOf = (note: TargetNote): string =>
  `${note.service}/${note.targetId}/${isState(note) ? note.observation : note.byProbe ? 'probed' : 'answering'}`

/** The note with its age at the time of sending. */
export const noteAt = ({ note, observedMs }: Observation, nowMs: number): TargetNote =>
  ({ ...note, ageMs: Math.max(0, Math.round(nowMs - observedMs)) })

export const createNoteExchange = (): NoteExchange => {
  const known = new LRUCache<string, number>({ max: NOTES_KNOWN_MAX })
  const states = createSendQueue<Observation>(STATE_NOTES_QUEUED_MAX)
  const answers = createSendQueue<Observation>(ANSWER_NOTES_QUEUED_MAX)

  const isNews = (note: TargetNote, observedMs: number, nowMs: number): boolean => {
    const knownMs = known.get(keyOf(note))
    if (knownMs === undefined || nowMs - knownMs > NOTE_MEMORY_MS) return true
    return observedMs - knownMs > (isState(note) ? STATE_NOTE_REPEAT_MS : ANSWER_NOTE_REPEAT_MS)
  }

  const accept = (notes: readonly TargetNote[], nowMs: number): TargetNote[] => {
    const news: TargetNote[] = []
    for (const note of notes) {
      const observedMs = nowMs - note.ageMs
      if (note.ageMs > NOTE_AGE_MAX_MS || !isNews(note, observedMs, nowMs)) continue
      known.set(keyOf(note), observedMs)
      const queue = isState(note) ? states : answers
      queue.add(keyOf(note), { note, observedMs })
      news.push(note)
    }
    return news
  }

  /** Notes that are too old for the receiver to take are not sent. */
  const fresh = (queue: SendQueue<Observation>, nowMs: number) =>
    queue.ordered().filter(({ item }) => nowMs - item.observedMs <= NOTE_AGE_MAX_MS)

  return {
    accept,
    stateNotes: nowMs => fresh(states, nowMs),
    answerNotes: nowMs => fresh(answers, nowMs),
    noteSent: (key, limit) => { states.noteSent(key, limit); answers.noteSent(key, limit) },
    clear: () => { states.clear(); answers.clear() }
  }
}
