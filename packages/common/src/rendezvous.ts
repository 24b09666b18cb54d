/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): each node computes the
 * same order of members for a key without communicating with the others. When
 * a member is added or removed, only its own keys move.
 */
import murmurhash from 'murmurhash'

/** 32-bit Murmur3 hash of a string. */
export const hash32 = (text: string): number => murmurhash.v3(text, 0)

const compareMembers = (a: string, b: string): number => a < b ? -1 : a > b ? 1 : 0

/** Members by descending weight for the key; equal weights are ordered by name. */
export const rendezvousOrder = (key: string, members: readonly string[]): string[] =>
  members
    .map(member => ({ member, weight: hash32(`${key}\u0000${member}`) }))
    .sort((a, b) => b.weight - a.weight || compareMembers(a.member, b.member))
    .map(({ member }) => member)
