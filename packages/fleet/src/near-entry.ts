/**
 * Entry answers for callers that connect to one of the addresses at random:
 * all usable nodes of the caller's zone, and those of the other zones only
 * when the zone has too few.
 */
import type { EntryAnswer, MemberUpdate } from '@wisteriavalve/schema'
import { OVERLOAD_PERCENT } from './constants.js'

export type NearEntryRequest = {
  zone?: string
  addressesMax: number
  lifetimeMs: number
}

/** With fewer nodes in its zone, a caller could be left without any after one failure. */
const NEAR_MIN = 2

const isUsable = ({ state }: MemberUpdate): boolean => state === 'alive'

const isOverloaded = ({ loadPercent = 0 }: MemberUpdate): boolean => loadPercent >= OVERLOAD_PERCENT

/** Nodes that stop or are suspected still serve, so they are better than none. */
const usableMembers = (members: readonly MemberUpdate[]): readonly MemberUpdate[] => {
  const usable = members.filter(isUsable)
  return usable.length > 0 ? usable : members
}

export const answerNearEntry = (members: readonly MemberUpdate[], { zone, addressesMax, lifetimeMs }: NearEntryRequest): EntryAnswer => {
  const usable = usableMembers(members)
  const near = usable.filter(member => member.zone === zone)
  const picked = near.length >= NEAR_MIN && !near.every(isOverloaded) ? near : usable
  return {
    addresses: picked.slice(0, addressesMax).map(({ host, callerPort, zone: memberZone }) => ({ host, port: callerPort, zone: memberZone })),
    lifetimeMs
  }
}
