/**
 * Encodes and decodes gossip datagrams. They are MessagePack arrays in the
 * order of the fields of GossipEnvelope and GossipMessage. Without field names,
 * three times as many member updates fit into one datagram. The MAC is verified
 * before the payload is decoded, and both are validated against the schema. An
 * update or note that is not valid is left out; the rest of its datagram counts.
 * Long names are sent in a short form; see wire-names.ts.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { decode, encode } from '@msgpack/msgpack'
import type { Result } from '@wisteriavalve/common'
import {
  createWireNames, DATAGRAM_BYTES_MAX, NOTES_PER_MESSAGE_MAX, SERVICE_BYTES_MAX, TARGET_ID_BYTES_MAX, toWireName, UPDATES_PER_MESSAGE_MAX, ZONE_BYTES_MAX, type WireNames
} from '@wisteriavalve/fleet'
import { isGossipEnvelope, isGossipMessage, isMemberUpdate, isTargetNote, type GossipEnvelope, type GossipMessage, type MemberUpdate, type TargetNote } from '@wisteriavalve/schema'

export type RejectionReason = 'too-large' | 'malformed' | 'other-fleet' | 'not-authentic' | 'replayed' | 'late'

export type Datagram = {
  from: string
  bootId: number
  sequence: number
  message: GossipMessage
  /** Number of updates and notes that were left out because they are not valid. */
  malformedEntries: number
}

export type DatagramCodec = {
  encode: (message: GossipMessage, sequence: number) => Uint8Array
  decode: (bytes: Uint8Array) => Result<Datagram, RejectionReason>
  /** Size of the datagram that carries a message. */
  sizeBytes: (message: GossipMessage) => number
}

export type CodecOptions = {
  fleet: string
  fleetKey: string
  nodeId: string
  bootId: number
  /** Long names that this node knows. */
  names?: WireNames
}

const TYPES = ['ping', 'ack', 'ping-request'] as const
const STATES = ['alive', 'leaving', 'suspect', 'dead'] as const
const OBSERVATIONS = ['draining', 'dead', 'answering'] as const
/** Size of MAC, boot id, sequence and the headers of arrays and strings, without the fleet and the node id. */
const ENVELOPE_BYTES = 68

const packUpdate = (update: MemberUpdate): unknown[] => [
  update.nodeId, update.incarnation, STATES.indexOf(update.state), toWireName(update.zone, ZONE_BYTES_MAX), update.host,
  update.callerPort, update.gossipPort, update.peerPort, update.loadPercent ?? null
]

/** Older nodes ignore these fields, which are only sent when one of them is present. */
const packStatement = ({ limitPerS, pauseMs, isStated, crashedRequest }: TargetNote): unknown[] => {
  if (crashedRequest !== undefined) return [null, null, null, Buffer.from(crashedRequest, 'hex')]
  return limitPerS === undefined && pauseMs === undefined && isStated === undefined ? [] : [limitPerS ?? null, pauseMs ?? null, isStated ?? null]
}

const packNote = (note: TargetNote): unknown[] => [
  toWireName(note.service, SERVICE_BYTES_MAX), toWireName(note.targetId, TARGET_ID_BYTES_MAX), OBSERVATIONS.indexOf(note.observation), note.ageMs, note.inFlight ?? null, note.byProbe ?? null,
  ...packStatement(note)
]

const packMessage = (message: GossipMessage): unknown[] => {
  const { configuration } = message
  return [
    TYPES.indexOf(message.type), message.nonce, message.subject ?? null, packUpdate(message.sender),
    message.updates.map(packUpdate), message.notes.map(packNote),
    configuration ? [configuration.restoreCount, configuration.revision, Buffer.from(configuration.headHash, 'hex')] : null
  ]
}

/** Removes absent fields, because the schema does not allow null. */
const omitAbsent = (fields: Record<string, unknown>): Record<string, unknown> =>
  Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== null && value !== undefined))

const asArray = (value: unknown): unknown[] => {
  if (!Array.isArray(value)) throw new TypeError('not an array')
  return value
}

const unpackUpdate = (value: unknown): Record<string, unknown> => {
  const [nodeId, incarnation, state, zone, host, callerPort, gossipPort, peerPort, loadPercent] = asArray(value)
  return omitAbsent({ nodeId, incarnation, state: STATES[state as number], zone, host, callerPort, gossipPort, peerPort, loadPercent })
}

const unpackNote = (value: unknown): Record<string, unknown> => {
  const [service, targetId, observation, ageMs, inFlight, byProbe, limitPerS, pauseMs, isStated, identity] = asArray(value)
  const crashedRequest = identity instanceof Uint8Array ? Buffer.from(identity).toString('hex') : identity
  return omitAbsent({ service, targetId, observation: OBSERVATIONS[observation as number], ageMs, inFlight, byProbe, limitPerS, pauseMs, isStated, crashedRequest })
}

const unpackOrder = (value: unknown): Record<string, unknown> => {
  const [restoreCount, revision, hash] = asArray(value)
  return { restoreCount, revision, headHash: hash instanceof Uint8Array ? Buffer.from(hash).toString('hex') : undefined }
}

const tryDecode = <T>(read: () => T): T | undefined => {
  try {
    return read()
  } catch {
    return undefined
  }
}

type Entries<T> = { valid: T[], malformedCount: number }

type EntryFormat<T> = {
  unpack: (value: unknown) => Record<string, unknown>
  /** Absent if only a later release knows the kind of the entry, which is no error. */
  kindField: string
  isValid: (value: unknown) => value is T
  countMax: number
}

const UPDATE_FORMAT: EntryFormat<MemberUpdate> = { unpack: unpackUpdate, kindField: 'state', isValid: isMemberUpdate, countMax: UPDATES_PER_MESSAGE_MAX }
const NOTE_FORMAT: EntryFormat<TargetNote> = { unpack: unpackNote, kindField: 'observation', isValid: isTargetNote, countMax: NOTES_PER_MESSAGE_MAX }

const unpackEntries = <T>(values: unknown, { unpack, kindField, isValid, countMax }: EntryFormat<T>): Entries<T> => {
  const valid: T[] = []
  let malformedCount = 0
  for (const value of asArray(values)) {
    const fields = tryDecode(() => unpack(value))
    if (fields && !(kindField in fields)) continue
    if (isValid(fields) && valid.length < countMax) valid.push(fields)
    else malformedCount++
  }
  return { valid, malformedCount }
}

type UnpackedMessage = { message: GossipMessage, malformedEntries: number }

const unpackMessage = (value: unknown): UnpackedMessage | undefined => {
  const [type, nonce, subject, sender, packedUpdates, packedNotes, configuration] = asArray(value)
  const message = omitAbsent({
    type: TYPES[type as number],
    nonce,
    subject,
    sender: unpackUpdate(sender),
    updates: [],
    notes: [],
    configuration: configuration === null ? null : unpackOrder(configuration)
  })
  if (!isGossipMessage(message)) return undefined
  const updates = unpackEntries(packedUpdates, UPDATE_FORMAT)
  const notes = unpackEntries(packedNotes, NOTE_FORMAT)
  return { message: { ...message, updates: updates.valid, notes: notes.valid }, malformedEntries: updates.malformedCount + notes.malformedCount }
}

const unpackEnvelope = (bytes: Uint8Array): GossipEnvelope | undefined => {
  const parts = tryDecode(() => asArray(decode(bytes)))
  if (!parts || parts.length !== 6) return undefined
  const [fleet, from, bootId, sequence, payload, mac] = parts
  const envelope = { fleet, from, bootId, sequence, payload, mac }
  return isGossipEnvelope(envelope) && payload instanceof Uint8Array && mac instanceof Uint8Array ? envelope : undefined
}

export const createDatagramCodec = ({ fleet, fleetKey, nodeId, bootId, names = createWireNames() }: CodecOptions): DatagramCodec => {
  const key = createHmac('sha256', fleetKey).update('gossip').digest()

  const sign = (envelope: GossipEnvelope): Buffer => createHmac('sha256', key)
    .update(encode([envelope.fleet, envelope.from, envelope.bootId, envelope.sequence]))
    .update(envelope.payload as Uint8Array)
    .digest()

  const isAuthentic = (envelope: GossipEnvelope): boolean => {
    const received = envelope.mac as Uint8Array
    const expected = sign(envelope)
    return received.length === expected.length && timingSafeEqual(received, expected)
  }

  const resolveZone = (update: MemberUpdate): MemberUpdate => ({ ...update, zone: names.resolve(update.zone) })

  const resolveNames = (message: GossipMessage): GossipMessage => ({
    ...message,
    sender: resolveZone(message.sender),
    updates: message.updates.map(resolveZone),
    notes: message.notes.map(note => ({ ...note, service: names.resolve(note.service), targetId: names.resolve(note.targetId) }))
  })

  const decodeDatagram = (bytes: Uint8Array): Result<Datagram, RejectionReason> => {
    if (bytes.length > DATAGRAM_BYTES_MAX) return { ok: false, error: 'too-large' }
    const envelope = unpackEnvelope(bytes)
    if (!envelope) return { ok: false, error: 'malformed' }
    if (envelope.fleet !== fleet) return { ok: false, error: 'other-fleet' }
    if (!isAuthentic(envelope)) return { ok: false, error: 'not-authentic' }
    const unpacked = tryDecode(() => unpackMessage(decode(envelope.payload as Uint8Array)))
    if (!unpacked || unpacked.message.sender.nodeId !== envelope.from) return { ok: false, error: 'malformed' }
    const { from, bootId: senderBootId, sequence } = envelope
    return { ok: true, value: { from, bootId: senderBootId, sequence, message: resolveNames(unpacked.message), malformedEntries: unpacked.malformedEntries } }
  }

  return {
    encode: (message, sequence) => {
      const envelope: GossipEnvelope = { fleet, from: nodeId, bootId, sequence, payload: encode(packMessage(message)) }
      return encode([fleet, nodeId, bootId, sequence, envelope.payload, sign(envelope)])
    },
    decode: decodeDatagram,
    sizeBytes: message => encode(packMessage(message)).length + ENVELOPE_BYTES + Buffer.byteLength(fleet) + Buffer.byteLength(nodeId)
  }
}
