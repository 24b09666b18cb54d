/**
 * Entry answers: which node addresses a caller uses for the next seconds. The
 * random choice is weighted by remaining capacity, prefers the caller's zone
 * for the first half and covers other zones with the rest, so that a caller
 * that keeps its answer survives the loss of a zone.
 */
import type { Random } from '@wisteriavalve/common'
import type { EntryAnswer, MemberUpdate, VmEntry } from '@wisteriavalve/schema'
import { OVERLOAD_PERCENT } from './constants.js'
import type { AnswerEntry } from './types.js'

const ADDRESSES_MIN = 2
const WEIGHT_MIN = 5
const LIFETIME_SPREAD = 0.2

const loadOf = (member: MemberUpdate): number => member.loadPercent ?? 0
const weightOf = (member: MemberUpdate): number => Math.max(WEIGHT_MIN, 100 - loadOf(member))

/** Groups from the most to the least usable; later ones count only when too few remain. */
const isInGroup: Array<(member: MemberUpdate) => boolean> = [
  member => member.state === 'alive' && loadOf(member) < OVERLOAD_PERCENT,
  member => member.state === 'alive' && loadOf(member) >= OVERLOAD_PERCENT,
  member => member.state === 'leaving',
  member => member.state === 'suspect'
]

const usableMembers = (members: readonly MemberUpdate[]): MemberUpdate[] => {
  const usable: MemberUpdate[] = []
  for (const isMember of isInGroup) {
    if (usable.length >= ADDRESSES_MIN) break
    usable.push(...members.filter(isMember))
  }
  return usable
}

const pickWeighted = (members: readonly MemberUpdate[], random: Random): MemberUpdate | undefined => {
  let rest = random.next() * members.reduce((sum, member) => sum + weightOf(member), 0)
  for (const member of members) {
    rest -= weightOf(member)
    if (rest < 0) return member
  }
  return members.at(-1)
}

/** Members not taken yet in the zone that the answer should cover next. */
const nextPool = (left: readonly MemberUpdate[], picked: readonly MemberUpdate[], zone: string | undefined, nearCount: number): readonly MemberUpdate[] => {
  const near = zone === undefined ? [] : left.filter(member => member.zone === zone)
  if (picked.length < nearCount && near.length > 0) return near
  const used = new Set(picked.map(member => member.zone))
  const fresh = left.filter(member => !used.has(member.zone))
  return fresh.length > 0 ? fresh : left
}

/**
 * Members for an answer. A node that has met no other node yet adds the entry
 * VMs of the VM list; with itself as the only address, its callers would have
 * nowhere to go for a lifetime if it died.
 */
export const entryCandidates = (members: readonly MemberUpdate[], vms: readonly VmEntry[]): MemberUpdate[] => {
  const known = new Set(members.map(({ nodeId }) => nodeId))
  if (known.size > 1) return [...members]
  const listed = vms.filter(({ role, state, vmId }) => role === 'entry' && state === 'live' && !known.has(vmId))
  return [...members, ...listed.map(({ vmId, zone, host, port, gossipPort = port, peerPort = port }): MemberUpdate =>
    ({ nodeId: vmId, incarnation: 0, state: 'alive', zone, host, callerPort: port, gossipPort, peerPort }))]
}

export const answerEntry: AnswerEntry = ({ members, settings }, { zone }, random): EntryAnswer => {
  const left = usableMembers(members)
  const count = Math.min(settings.entryAddressCount, left.length)
  const nearCount = Math.ceil(settings.entryAddressCount / 2)
  const picked: MemberUpdate[] = []
  while (picked.length < count) {
    const member = pickWeighted(nextPool(left, picked, zone, nearCount), random)
    if (!member) break
    picked.push(member)
    left.splice(left.indexOf(member), 1)
  }
  return {
    addresses: picked.map(({ host, callerPort, zone }) => ({ host, port: callerPort, zone })),
    lifetimeMs: Math.round(settings.entryLifetimeMs * (1 - LIFETIME_SPREAD + 2 * LIFETIME_SPREAD * random.next()))
  }
}
