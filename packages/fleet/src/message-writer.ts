/**
 * Fills messages: what the receiver must know about itself, news of members
 * and targets with a bounded number of sends, and, in the room that is left,
 * members chosen at random. A message never exceeds one datagram.
 */
import type { Random } from '@wisteriavalve/common'
import type { ConfigurationOrder, GossipMessage, MemberUpdate, TargetNote } from '@wisteriavalve/schema'
import {
  DATAGRAM_BYTES_ALIVE_MAX, DATAGRAM_BYTES_LOAD_MAX, DATAGRAM_BYTES_MAX, FILLER_UPDATES_MAX, NOTES_PER_MESSAGE_MAX, SENDS_PER_LOG2,
  UPDATES_PER_MESSAGE_MAX
} from './constants.js'
import type { MemberTable } from './member-table.js'
import { noteAt, type NoteExchange } from './note-exchange.js'
import { pickSome } from './pick-some.js'
import type { SendQueue } from './send-queue.js'

export type MessageParts = {
  type: GossipMessage['type']
  nonce: number
  subject?: string
  receiverId?: string
}

export type WriterSources = {
  self: () => MemberUpdate
  configuration: () => ConfigurationOrder | undefined
  table: MemberTable
  updates: SendQueue<MemberUpdate>
  notes: NoteExchange
  random: Random
  sizeBytes: (message: GossipMessage) => number
}

/** Array headers grow with the number of items, and ages grow until a note is sent. */
const RESERVE_BYTES = 16

export const sendLimit = (memberCount: number): number => Math.ceil(SENDS_PER_LOG2 * Math.log2(memberCount + 1))

export const createMessageWriter = (sources: WriterSources) => {
  const { table, updates, notes, random, sizeBytes } = sources
  const itemBytes = new WeakMap<object, number>()
  let emptyBytes: number | undefined

  const measure = (key: object, parts: Pick<GossipMessage, 'updates' | 'notes'>): number => {
    const known = itemBytes.get(key)
    if (known !== undefined) return known
    const base = { type: 'ping' as const, nonce: 0, sender: sources.self() }
    emptyBytes = sizeBytes({ ...base, updates: [], notes: [] })
    const bytes = sizeBytes({ ...base, ...parts }) - emptyBytes
    itemBytes.set(key, bytes)
    return bytes
  }

  const startMessage = ({ type, nonce, subject }: MessageParts): GossipMessage => {
    const configuration = sources.configuration()
    return {
      type, nonce, sender: sources.self(), updates: [], notes: [], ...(subject !== undefined && { subject }), ...(configuration && { configuration })
    }
  }

  return (parts: MessageParts, nowMs: number): GossipMessage => {
    const message = startMessage(parts)
    const limit = sendLimit(table.presentCount() + 1)
    const included = new Set<string>([message.sender.nodeId])
    let bytes = sizeBytes(message) + RESERVE_BYTES

    const addUpdate = (update: MemberUpdate, bytesMax: number): boolean => {
      const size = measure(update, { updates: [update], notes: [] })
      if (included.has(update.nodeId) || bytes + size > bytesMax || message.updates.length >= UPDATES_PER_MESSAGE_MAX) return false
      included.add(update.nodeId)
      message.updates.push(update)
      bytes += size
      return true
    }

    const addNote = (observation: Parameters<typeof noteAt>[0], bytesMax: number): boolean => {
      const note: TargetNote = noteAt(observation, nowMs)
      const size = measure(observation, { updates: [], notes: [note] })
      if (bytes + size > bytesMax || message.notes.length >= NOTES_PER_MESSAGE_MAX) return false
      message.notes.push(note)
      bytes += size
      return true
    }

    const addFiller = (): void => {
      const records = [...table.records()].filter(({ isStale }) => !isStale)
      let added = 0
      for (const record of pickSome(records, 2 * FILLER_UPDATES_MAX, random)) {
        if (added >= FILLER_UPDATES_MAX) return
        if (addUpdate(record.update, DATAGRAM_BYTES_LOAD_MAX)) added++
      }
    }

    const aboutReceiver = parts.receiverId === undefined ? undefined : table.get(parts.receiverId)
    if (aboutReceiver) addUpdate(aboutReceiver.update, DATAGRAM_BYTES_MAX)
    for (const { key, item } of notes.stateNotes(nowMs)) if (addNote(item, DATAGRAM_BYTES_MAX)) notes.noteSent(key, limit)
    for (const { key, item } of updates.ordered()) if (addUpdate(item, item.state === 'alive' ? DATAGRAM_BYTES_ALIVE_MAX : DATAGRAM_BYTES_MAX)) updates.noteSent(key, limit)
    for (const { key, item } of notes.answerNotes(nowMs)) if (addNote(item, DATAGRAM_BYTES_LOAD_MAX)) notes.noteSent(key, ANSWER_SENDS_MAX)
    addFiller()
    return message
  }
}

/** Answering notes are refreshed by later ones, so a few sends of each are enough. */
const ANSWER_SENDS_MAX = 4
