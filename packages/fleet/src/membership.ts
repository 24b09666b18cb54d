/**
 * Membership by SWIM (Das, Gupta and Motivala, 2002) with three additions:
 * candidates become members by acknowledging a nonce, dead members are pinged
 * periodically to merge partitions, and a node raises its incarnation after a
 * pause. Calls return the messages to send; this module performs no I/O.
 */
import type { ConfigurationOrder, GossipMessage, MemberUpdate, TargetNote, VmEntry } from '@wisteriavalve/schema'
import { createBurstLimit } from './burst-limit.js'
import { createCandidates, type Candidate } from './candidates.js'
import {
  BURST_FANOUT, CANDIDATE_PINGS_PER_PERIOD, DEAD_RETENTION_MS, INDIRECT_PING_COUNT, PAUSE_GAP_MS, PROTOCOL_PERIOD_MS,
  RECONNECT_INTERVAL_MS, RELAYS_MAX, SUSPICION_PERIODS_MIN, UPDATES_QUEUED_MAX
} from './constants.js'
import { createFailureDetector, type DetectorMembers, type DetectorStep } from './failure-detector.js'
import { createMemberTable, type MemberChange } from './member-table.js'
import { createMessageWriter, type MessageParts } from './message-writer.js'
import { createNoteExchange, isStateNote } from './note-exchange.js'
import { pickRandom } from './pick-random.js'
import { pickBurstReceivers, pickPingRound } from './ping-selection.js'
import { createPingTracker, type PendingPing } from './ping-tracker.js'
import { createSelfState } from './self-state.js'
import { createSendQueue } from './send-queue.js'
import type { GossipAddress, Membership, MembershipAction, MembershipOptions } from './types.js'

/** Protocol periods after which the nonce of a ping expires. */
const NONCE_LIFETIME_PERIODS = 3
/** Iterating over all members on every tick would cost more than the pings. */
const EXPIRY_INTERVAL_MS = 500

export const suspicionPeriods = (memberCount: number): number =>
  Math.max(SUSPICION_PERIODS_MIN, Math.ceil(2 * Math.log2(Math.max(1, memberCount))))

const addressOf = ({ host, gossipPort }: GossipAddress): GossipAddress => ({ host, gossipPort })

export const createMembership = (options: MembershipOptions): Membership => {
  const { random } = options
  const periodMs = options.periodMs ?? PROTOCOL_PERIOD_MS
  const self = createSelfState(options.self)
  const table = createMemberTable()
  const updates = createSendQueue<MemberUpdate>(UPDATES_QUEUED_MAX)
  const notes = createNoteExchange()
  const candidates = createCandidates(random)
  const pings = createPingTracker(random)
  const detector = createFailureDetector(random, periodMs)
  const bursts = createBurstLimit()
  /** Apart from the others, so that a storm of updates does not delay a configuration. */
  const configurationBursts = createBurstLimit()
  let configuration: ConfigurationOrder | undefined
  let lastTickMs: number | undefined
  let nextReconnectMs: number | undefined
  let nextCandidatesMs = -Infinity
  let nextExpiryMs = -Infinity

  const writeMessage = createMessageWriter({
    self: self.get, configuration: () => configuration, table, updates, notes, random, sizeBytes: options.sizeBytes
  })

  const send = (to: GossipAddress, parts: MessageParts, nowMs: number): MembershipAction =>
    ({ type: 'send', to: addressOf(to), message: writeMessage(parts, nowMs) })

  const ping = (to: GossipAddress & { nodeId: string }, nowMs: number, relay?: PendingPing['relay']): MembershipAction => {
    const nonce = pings.start({ to: to.nodeId, sentMs: nowMs, relay })
    return send(to, { type: 'ping', nonce, receiverId: to.nodeId }, nowMs)
  }

  const presentMembers = (): MemberUpdate[] => [...table.records()].map(({ update }) => update).filter(({ state }) => state !== 'dead')

  const pingMembers: DetectorMembers = {
    present: () => presentMembers().map(({ nodeId }) => nodeId),
    nextRound: () => pickPingRound(presentMembers(), self.get().zone, random).map(({ nodeId }) => nodeId)
  }

  const handleChange = (change: MemberChange): MembershipAction[] => {
    const { record, previous } = change
    updates.add(record.update.nodeId, record.update)
    candidates.delete(record.update.nodeId)
    if (previous === undefined && record.update.zone === self.get().zone) detector.addMember(record.update.nodeId)
    // Every node must exclude a leaving or unresponsive node from its entry answers within seconds.
    if (previous === 'alive' && (record.update.state === 'leaving' || record.update.state === 'suspect')) bursts.request()
    return record.update.state === previous ? [] : [{ type: 'member-changed', member: record.update, previous }]
  }

  /** Applies the update that a member sent about itself or another one. */
  const applyUpdate = (update: MemberUpdate, nowMs: number): MembershipAction[] => {
    if (update.nodeId === self.get().nodeId) {
      self.refute(update)
      return []
    }
    // Unknown dead members are ignored; otherwise nodes would add each other's dead members again and never forget them.
    if (!table.get(update.nodeId)) return update.state === 'dead' ? [] : handleChange(table.add(update, nowMs))
    const change = table.apply(update, nowMs)
    return change ? handleChange(change) : []
  }

  const applySender = (sender: MemberUpdate, nowMs: number): MembershipAction[] => {
    const actions = applyUpdate(sender, nowMs)
    const record = table.get(sender.nodeId)
    // The load of a member changes without a new incarnation; its own messages carry the latest value.
    if (record && record.update.incarnation === sender.incarnation && record.update.state === sender.state) record.update = sender
    return actions
  }

  const suspect = (nodeId: string, nowMs: number): MembershipAction[] => {
    const record = table.get(nodeId)
    return record ? applyUpdate({ ...record.update, state: 'suspect' }, nowMs) : []
  }

  const requestIndirectPings = (nodeId: string, nowMs: number): MembershipAction[] => {
    const others = [...table.records()].filter(({ update }) => update.state === 'alive' && update.nodeId !== nodeId)
    return pickRandom(others, INDIRECT_PING_COUNT, random).map(({ update }) => {
      const nonce = pings.start({ to: nodeId, sentMs: nowMs })
      return send(update, { type: 'ping-request', nonce, subject: nodeId, receiverId: update.nodeId }, nowMs)
    })
  }

  const runDetectorStep = (step: DetectorStep, nowMs: number): MembershipAction[] => {
    const record = table.get(step.nodeId)
    if (!record) return []
    if (step.step === 'ping') return [ping(record.update, nowMs)]
    return step.step === 'suspect' ? suspect(step.nodeId, nowMs) : requestIndirectPings(step.nodeId, nowMs)
  }

  const pingCandidate = (candidate: Candidate, nowMs: number): MembershipAction => {
    candidates.recordPing(candidate, nowMs)
    return ping(candidate, nowMs)
  }

  const pingCandidates = (nowMs: number): MembershipAction[] => {
    if (nowMs < nextCandidatesMs) return []
    const due = candidates.due(CANDIDATE_PINGS_PER_PERIOD, nowMs, periodMs)
    if (due.length > 0) nextCandidatesMs = nowMs + periodMs
    return due.map(candidate => pingCandidate(candidate, nowMs))
  }

  /** Pings one dead or unresponsive node, which merges the sides of a partition that has ended. */
  const reconnect = (nowMs: number): MembershipAction[] => {
    nextReconnectMs ??= nowMs + random.next() * RECONNECT_INTERVAL_MS
    if (nowMs < nextReconnectMs) return []
    nextReconnectMs = nowMs + RECONNECT_INTERVAL_MS
    const dead = [...table.records()].map(({ update }) => update).filter(({ state }) => state === 'dead')
    return pickRandom([...dead, ...candidates.unresponsive()], 1, random).map(member => ping(member, nowMs))
  }

  const sendBurst = (nowMs: number): MembershipAction[] => {
    if (!configurationBursts.take(nowMs) && !bursts.take(nowMs)) return []
    const running = presentMembers().filter(({ state }) => state !== 'leaving')
    return pickBurstReceivers(running, self.get().zone, BURST_FANOUT, random).map(member => ping(member, nowMs))
  }

  const expire = (nowMs: number): MembershipAction[] => {
    if (nowMs < nextExpiryMs) return []
    nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS
    pings.expire(nowMs - NONCE_LIFETIME_PERIODS * periodMs)
    const timeoutMs = suspicionPeriods(table.presentCount() + 1) * periodMs
    const expired = table.expireSuspicions(timeoutMs, nowMs).flatMap(handleChange)
    const forgotten = table.forgetDead(DEAD_RETENTION_MS, nowMs)
    return [...expired, ...forgotten.map(nodeId => ({ type: 'member-forgotten' as const, nodeId }))]
  }

  const resetAfterPause = (nowMs: number): void => {
    lastTickMs = nowMs
    pings.clear()
    updates.clear()
    notes.clear()
    detector.restart(nowMs)
    table.markStale(nowMs)
    self.raiseIncarnation()
    bursts.request()
  }

  const tick = (nowMs: number): MembershipAction[] => {
    if (lastTickMs !== undefined && nowMs - lastTickMs > PAUSE_GAP_MS) resetAfterPause(nowMs)
    lastTickMs = nowMs
    self.announceLoad(nowMs)
    return [
      ...expire(nowMs),
      ...detector.step(nowMs, pingMembers).flatMap(step => runDetectorStep(step, nowMs)),
      ...reconnect(nowMs),
      ...pingCandidates(nowMs),
      ...sendBurst(nowMs)
    ]
  }

  /** An ack with a subject was relayed on behalf of that member. */
  const handleAck = (message: GossipMessage, nowMs: number): { ping?: PendingPing, actions: MembershipAction[] } => {
    if (message.type !== 'ack') return { actions: [] }
    const ackedId = message.subject ?? message.sender.nodeId
    const ackedPing = pings.resolve(message.nonce, ackedId)
    if (!ackedPing) return { actions: [] }
    detector.recordAck(ackedId)
    const relay = ackedPing.relay
    const actions = relay ? [send(relay.requester, { type: 'ack', nonce: relay.nonce, subject: ackedId, receiverId: relay.requesterId }, nowMs)] : []
    return { ping: ackedPing, actions }
  }

  const applyMessage = (message: GossipMessage, nowMs: number): MembershipAction[] => {
    const from = message.sender.nodeId
    const actions = [...applySender(message.sender, nowMs), ...message.updates.flatMap(update => applyUpdate(update, nowMs))]
    const newNotes = notes.accept(message.notes, nowMs)
    if (newNotes.some(isStateNote)) bursts.request()
    if (newNotes.length > 0) actions.push({ type: 'notes-received', from, notes: newNotes })
    if (message.configuration) actions.push({ type: 'configuration-seen', from, order: message.configuration })
    return actions
  }

  const reply = (message: GossipMessage, from: GossipAddress, nowMs: number): MembershipAction[] => {
    const receiverId = message.sender.nodeId
    if (message.type === 'ping') return [send(from, { type: 'ack', nonce: message.nonce, receiverId }, nowMs)]
    const subject = message.type === 'ping-request' && message.subject !== undefined ? table.get(message.subject) : undefined
    if (!subject || pings.relayCount() >= RELAYS_MAX) return []
    return [ping(subject.update, nowMs, { requester: from, requesterId: receiverId, nonce: message.nonce })]
  }

  /** From an unverified process only its ping and its updates about this node are processed. */
  const receiveUnverified = (message: GossipMessage, from: GossipAddress, nowMs: number): MembershipAction[] => {
    const { sender } = message
    for (const update of message.updates) if (update.nodeId === self.get().nodeId) self.refute(update)
    candidates.addSender(sender)
    const candidate = candidates.get(sender.nodeId)
    const actions = message.type === 'ping' ? reply(message, from, nowMs) : []
    if (candidate && nowMs - candidate.lastPingMs >= periodMs) actions.push(pingCandidate(candidate, nowMs))
    return actions
  }

  const receive: Membership['receive'] = (message, from, nowMs, isVerified) => {
    const senderId = message.sender.nodeId
    if (senderId === self.get().nodeId) return []
    const ack = handleAck(message, nowMs)
    const isVerifiedNow = ack.ping !== undefined && message.subject === undefined
    if (!isVerified && !isVerifiedNow) return receiveUnverified(message, from, nowMs)
    candidates.delete(senderId)
    return [
      ...(isVerified ? [] : [{ type: 'sender-verified' as const, nodeId: senderId }]),
      ...applyMessage(message, nowMs),
      ...ack.actions,
      ...reply(message, from, nowMs)
    ]
  }

  const applyVmList = (vms: readonly VmEntry[], nowMs: number): MembershipAction[] => {
    const unknown = vms.filter(({ vmId, role, gossipPort, state }) =>
      role === 'entry' && state === 'live' && gossipPort !== undefined && vmId !== self.get().nodeId && !table.get(vmId))
    candidates.updateFromVmList(unknown.map(({ vmId, host, gossipPort }) => ({ nodeId: vmId, host, gossipPort: gossipPort as number })))
    return pingCandidates(nowMs)
  }

  const queueNotes = (observed: readonly TargetNote[], nowMs: number): void => {
    const newNotes = notes.accept(observed, nowMs)
    if (newNotes.some(isStateNote)) bursts.request()
  }

  const setConfiguration = (order: ConfigurationOrder): void => {
    configuration = order
    configurationBursts.request()
  }

  return {
    tick,
    receive,
    applyVmList,
    leave: nowMs => {
      self.raiseIncarnation('leaving')
      bursts.request()
      return sendBurst(nowMs)
    },
    resumeAfterPause: (_gapMs, nowMs) => {
      resetAfterPause(nowMs)
      return sendBurst(nowMs)
    },
    setLoadPercent: self.setLoadPercent,
    setConfiguration,
    queueNotes,
    self: self.get,
    members: () => [self.get(), ...[...table.records()].map(({ update }) => update).filter(({ state }) => state !== 'dead')]
  }
}
