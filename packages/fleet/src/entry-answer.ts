/**
 * Entry answers: the node addresses that a caller uses during the next seconds.
 * Nodes are chosen at random, weighted by remaining capacity. The first half
 * prefers the caller's zone and the rest covers other zones, so a caller that
 * keeps its answer survives the loss of a zone.
 */
import type { Random } from '@wisteriavalve/common'
import type { EntryAnswer, MemberUpdate, VmEntry } from '@wisteriavalve/schema'
import { OVERLOAD_PERCENT } from './constants.js'
import type { BuildEntryAnswer } from './types.js'

const ADDRESSES_MIN = 2
const WEIGHT_MIN = 5
const LIFETIME_JITTER_RATIO = 0.2

const loadOf = (member: MemberUpdate): number => member.loadPercent ?? 0
const weightOf = (member: MemberUpdate): number => Math.max(WEIGHT_MIN, 100 - loadOf(member))

/** Groups in order of preference; a later group is used only when the earlier ones have too few members. */
const preferenceGroups: Array<(member: MemberUpdate) => boolean> = [
  member => member.state === 'alive' && loadOf(member) < OVERLOAD_PERCENT,
  member => member.state === 'alive' && loadOf(member) >= OVERLOAD_PERCENT,
  member => member.state === 'leaving',
  member => member.state === 'suspect'
]

const usableMembers = (members: readonly MemberUpdate[]): MemberUpdate[] => {
  const usable: MemberUpdate[] = []
  for (const isInGroup of preferenceGroups) {
    if (usable.length >= ADDRESSES_MIN) break
    usable.push(...members.filter(isInGroup))
  }
  return usable
}

const pickWeighted = (members: readonly MemberUpdate[], random: Random): MemberUpdate | undefined => {
  let remainingWeight = random.next() * members.reduce((sum, member) => sum + weightOf(member), 0)
  for (const member of members) {
    remainingWeight -= weightOf(member)
    if (remainingWeight < 0) return member
  }
  return members.at(-1)
}

/** Remaining members of the zone that the answer should cover next. */
const nextCandidates = (remaining: readonly MemberUpdate[], picked: readonly MemberUpdate[], zone: string | undefined, sameZoneCount: number): readonly MemberUpdate[] => {
  const sameZone = zone === undefined ? [] : remaining.filter(member => member.zone === zone)
  if (picked.length < sameZoneCount && sameZone.length > 0) return sameZone
  const usedZones = new Set(picked.map(member => member.zone))
  const inUnusedZones = remaining.filter(member => !usedZones.has(member.zone))
  return inUnusedZones.length > 0 ? inUnusedZones : remaining
}

/**
 * Members for an answer. A node without any other member adds the entry VMs of
 * the VM list. If its own address were the only one and it died, its callers
 * would have no usable address until the answer expires.
 */
export const entryCandidates = (members: readonly MemberUpdate[], vms: readonly VmEntry[]): MemberUpdate[] => {
  const memberIds = new Set(members.map(({ nodeId }) => nodeId))
  if (memberIds.size > 1) return [...members]
  const listed = vms.filter(({ role, state, vmId }) => role === 'entry' && state === 'live' && !memberIds.has(vmId))
  return [...members, ...listed.map(({ vmId, zone, host, port, gossipPort = port, peerPort = port }): MemberUpdate =>
    ({ nodeId: vmId, incarnation: 0, state: 'alive', zone, host, callerPort: port, gossipPort, peerPort }))]
}

export const buildEntryAnswer: BuildEntryAnswer = ({ members, settings }, { zone }, random): EntryAnswer => {
  const remaining = usableMembers(members)
  const count = Math.min(settings.entryAddressCount, remaining.length)
  const sameZoneCount = Math.ceil(settings.entryAddressCount / 2)
  const picked: MemberUpdate[] = []
  while (picked.length < count) {
    const member = pickWeighted(nextCandidates(remaining, picked, zone, sameZoneCount), random)
    if (!member) break
    picked.push(member)
    remaining.splice(remaining.indexOf(member), 1)
  }
  return {
    addresses: picked.map(({ host, callerPort, zone }) => ({ host, port: callerPort, zone })),
    lifetimeMs: Math.round(settings.entryLifetimeMs * (1 - LIFETIME_JITTER_RATIO + 2 * LIFETIME_JITTER_RATIO * random.next()))
  }
}
