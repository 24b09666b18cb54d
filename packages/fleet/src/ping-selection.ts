/**
 * Selection of the members that a node pings. Traffic between availability zones
 * is billed and each ping carries updates, so most pings stay in the zone, whose
 * members detect a dead one as fast as members of any zone would. A few pings to
 * other zones spread the updates and detect a zone that is unreachable.
 */
import { shuffle, type Random } from '@wisteriavalve/common'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { pickRandom } from './pick-random.js'

/** Pings within the zone for each ping to another zone. */
const SAME_ZONE_PER_OTHER_ZONE = 6
/** Minimum number of members of other zones per round, also for the only node of a zone. */
const OTHER_ZONES_MIN = 2

const splitByZone = (members: readonly MemberUpdate[], zone: string): { sameZone: MemberUpdate[], otherZones: MemberUpdate[] } => ({
  sameZone: members.filter(member => member.zone === zone),
  otherZones: members.filter(member => member.zone !== zone)
})

/** Members to ping in one round: all of this zone and a few of other zones. */
export const pickPingRound = (members: readonly MemberUpdate[], zone: string, random: Random): MemberUpdate[] => {
  const { sameZone, otherZones } = splitByZone(members, zone)
  return [...sameZone, ...pickRandom(otherZones, Math.max(OTHER_ZONES_MIN, Math.ceil(sameZone.length / SAME_ZONE_PER_OTHER_ZONE)), random)]
}

/** Members to send urgent updates to: one of another zone and the rest of this zone, filled up from other zones. */
export const pickBurstReceivers = (members: readonly MemberUpdate[], zone: string, count: number, random: Random): MemberUpdate[] => {
  const { sameZone, otherZones } = splitByZone(members, zone)
  const sameZonePicked = pickRandom(sameZone, Math.max(count - 1, count - otherZones.length), random)
  return shuffle([...sameZonePicked, ...pickRandom(otherZones, count - sameZonePicked.length, random)], random)
}
