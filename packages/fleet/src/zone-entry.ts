/**
 * Entry answers for callers that connect to a randomly chosen address of the
 * answer. The answer lists all usable nodes of the caller's zone, and those of
 * other zones only when the caller's zone has too few or all of its nodes are
 * overloaded. Nodes that reach no target, and relay what they get to peers, are
 * left out while they are the smaller part of the fleet: the rest can carry the
 * requests of their callers, and relaying costs time and traffic between zones.
 */
import type { EntryAnswer, MemberUpdate } from '@wisteriavalve/schema'
import { OVERLOAD_PERCENT, UNREACHABLE_LOAD_PERCENT } from './constants.js'

export type ZoneEntryRequest = {
  zone?: string
  /** Zones whose nodes may be named, the preferred ones first; nodes of other zones are named only if none has a node. */
  zones?: ReadonlyArray<ReadonlySet<string>>
  addressesMax: number
  lifetimeMs: number
}

/** With fewer nodes in its zone, one failure could leave a caller without any node. */
const SAME_ZONE_MIN = 2

const isUsable = ({ state }: MemberUpdate): boolean => state === 'alive'

const isOverloaded = ({ loadPercent = 0 }: MemberUpdate): boolean => loadPercent >= OVERLOAD_PERCENT

const reachesTargets = ({ loadPercent = 0 }: MemberUpdate): boolean => loadPercent < UNREACHABLE_LOAD_PERCENT

/** Returns leaving and suspected nodes only when no other is left; they may still serve. */
const usableMembers = (members: readonly MemberUpdate[]): readonly MemberUpdate[] => {
  const usable = members.filter(isUsable)
  if (usable.length === 0) return members
  const reaching = usable.filter(reachesTargets)
  return 2 * reaching.length > usable.length ? reaching : usable
}

/** Nodes of the first zones that have any. A leaving or suspected node is preferred to one of another zone. */
const membersIn = (members: readonly MemberUpdate[], zones: ReadonlyArray<ReadonlySet<string>>): readonly MemberUpdate[] =>
  zones.map(set => members.filter(({ zone, state }) => set.has(zone) && state !== 'dead')).find(found => found.length > 0) ?? members

export const buildZoneEntryAnswer = (members: readonly MemberUpdate[], { zone, zones = [], addressesMax, lifetimeMs }: ZoneEntryRequest): EntryAnswer => {
  const usable = usableMembers(membersIn(members, zones))
  const sameZone = usable.filter(member => member.zone === zone)
  const picked = sameZone.length >= SAME_ZONE_MIN && !sameZone.every(isOverloaded) ? sameZone : usable
  return {
    addresses: picked.slice(0, addressesMax).map(({ host, callerPort, zone: memberZone }) => ({ host, port: callerPort, zone: memberZone })),
    lifetimeMs
  }
}
