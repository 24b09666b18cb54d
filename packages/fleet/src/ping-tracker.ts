/**
 * Pings that wait for their ack, by nonce. Nonces are random, so an ack proves
 * that its sender received this very ping. Entries expire, and all of them are
 * dropped after a pause, since their acks say nothing about the present.
 */
import type { Random } from '@wisteriavalve/common'
import type { GossipAddress } from './types.js'

export type PendingPing = {
  to: string
  sentMs: number
  /** Set when the ping was sent on behalf of another member. */
  relay?: { requester: GossipAddress, requesterId: string, nonce: number }
}

export type PingTracker = {
  start: (ping: PendingPing) => number
  /** Takes the ping that an ack of a member answers. */
  answer: (nonce: number, from: string) => PendingPing | undefined
  expire: (olderThanMs: number) => void
  relayCount: () => number
  clear: () => void
}

const NONCE_HALF = 0x1000000

export const createPingTracker = (random: Random): PingTracker => {
  const pings = new Map<number, PendingPing>()
  const newNonce = (): number => random.int(NONCE_HALF) * NONCE_HALF + random.int(NONCE_HALF)
  return {
    start: ping => {
      const nonce = newNonce()
      pings.set(nonce, ping)
      return nonce
    },
    answer: (nonce, from) => {
      const ping = pings.get(nonce)
      if (ping?.to !== from) return undefined
      pings.delete(nonce)
      return ping
    },
    expire: olderThanMs => {
      for (const [nonce, { sentMs }] of pings) {
        if (sentMs >= olderThanMs) return
        pings.delete(nonce)
      }
    },
    relayCount: () => [...pings.values()].filter(({ relay }) => relay).length,
    clear: () => pings.clear()
  }
}
