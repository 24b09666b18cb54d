/**
 * Choice of the members that a node pings. Traffic between availability zones
 * is paid for and each ping carries news, so most pings stay in the zone: its
 * members find a dead one as fast, and a few pings to other zones carry the
 * news over and find a zone that is cut off.
 */
import { shuffle, type Random } from '@wisteriavalve/common'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { pickSome } from './pick-some.js'

/** Members of the own zone for each member of another one. */
const NEAR_PER_FAR = 6
/** Members of other zones in each round, also for a node that is alone in its zone. */
const FAR_MIN = 2

const splitByZone = (members: readonly MemberUpdate[], zone: string): { near: MemberUpdate[], far: MemberUpdate[] } => ({
  near: members.filter(member => member.zone === zone),
  far: members.filter(member => member.zone !== zone)
})

/** The members that are pinged in one round: all of the own zone, and a few of the others. */
export const pickPingRound = (members: readonly MemberUpdate[], zone: string, random: Random): MemberUpdate[] => {
  const { near, far } = splitByZone(members, zone)
  return [...near, ...pickSome(far, Math.max(FAR_MIN, Math.ceil(near.length / NEAR_PER_FAR)), random)]
}

/** Members to tell urgent news: one of another zone, the others of the own one as far as there are any. */
export const pickBurst = (members: readonly MemberUpdate[], zone: string, count: number, random: Random): MemberUpdate[] => {
  const { near, far } = splitByZone(members, zone)
  const nearPicked = pickSome(near, Math.max(count - 1, count - far.length), random)
  return shuffle([...nearPicked, ...pickSome(far, count - nearPicked.length, random)], random)
}
