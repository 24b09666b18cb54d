/**
 * Fills gossip messages in order of priority: the update about the receiver,
 * recent updates of members and targets, each sent a bounded number of times, and
 * randomly chosen members in the remaining space. A message never exceeds one
 * datagram.
 */
import type { Random } from '@wisteriavalve/common'
import type { ConfigurationOrder, GossipMessage, MemberUpdate, TargetNote } from '@wisteriavalve/schema'
import {
  DATAGRAM_BYTES_ALIVE_MAX, DATAGRAM_BYTES_LOAD_MAX, DATAGRAM_BYTES_MAX, FILLER_UPDATES_MAX, NOTES_PER_MESSAGE_MAX, SENDS_PER_LOG2_MEMBERS,
  UPDATES_PER_MESSAGE_MAX
} from './constants.js'
import type { MemberTable } from './member-table.js'
import { withCurrentAge, type NoteExchange } from './note-exchange.js'
import { pickRandom } from './pick-random.js'
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

/** Array headers grow with the number of items, and the encoded age of a note grows until it is sent. */
const RESERVE_BYTES = 16

export const sendLimit = (memberCount: number): number => Math.ceil(SENDS_PER_LOG2_MEMBERS * Math.log2(memberCount + 1))

export const createMessageWriter = (sources: WriterSources) => {
  const { table, updates, notes, random, sizeBytes } = sources
  const itemSizes = new WeakMap<object, number>()
  let emptyBytes: number | undefined

  const itemSizeBytes = (key: object, parts: Pick<GossipMessage, 'updates' | 'notes'>): number => {
    const cached = itemSizes.get(key)
    if (cached !== undefined) return cached
    const base = { type: 'ping' as const, nonce: 0, sender: sources.self() }
    emptyBytes = sizeBytes({ ...base, updates: [], notes: [] })
    const bytes = sizeBytes({ ...base, ...parts }) - emptyBytes
    itemSizes.set(key, bytes)
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
      const size = itemSizeBytes(update, { updates: [update], notes: [] })
      if (included.has(update.nodeId) || bytes + size > bytesMax || message.updates.length >= UPDATES_PER_MESSAGE_MAX) return false
      included.add(update.nodeId)
      message.updates.push(update)
      bytes += size
      return true
    }

    const addNote = (observation: Parameters<typeof withCurrentAge>[0], bytesMax: number): boolean => {
      const note: TargetNote = withCurrentAge(observation, nowMs)
      const size = itemSizeBytes(observation, { updates: [], notes: [note] })
      if (bytes + size > bytesMax || message.notes.length >= NOTES_PER_MESSAGE_MAX) return false
      message.notes.push(note)
      bytes += size
      return true
    }

    const addFiller = (): void => {
      const records = [...table.records()].filter(({ isStale }) => !isStale)
      let added = 0
      for (const record of pickRandom(records, 2 * FILLER_UPDATES_MAX, random)) {
        if (added >= FILLER_UPDATES_MAX) return
        if (addUpdate(record.update, DATAGRAM_BYTES_LOAD_MAX)) added++
      }
    }

    const receiverRecord = parts.receiverId === undefined ? undefined : table.get(parts.receiverId)
    if (receiverRecord) addUpdate(receiverRecord.update, DATAGRAM_BYTES_MAX)
    for (const { key, item } of notes.stateNotes(nowMs)) if (addNote(item, DATAGRAM_BYTES_MAX)) notes.recordSend(key, limit)
    for (const { key, item } of updates.ordered()) if (addUpdate(item, item.state === 'alive' ? DATAGRAM_BYTES_ALIVE_MAX : DATAGRAM_BYTES_MAX)) updates.recordSend(key, limit)
    for (const { key, item } of notes.answeringNotes(nowMs)) if (addNote(item, DATAGRAM_BYTES_LOAD_MAX)) notes.recordSend(key, ANSWERING_NOTE_SENDS_MAX)
    addFiller()
    return message
  }
}

/** Later notes supersede answering notes, so a few sends of each are enough. */
const ANSWERING_NOTE_SENDS_MAX = 4
