/**
 * Outstanding pings by nonce. Nonces are random, so an ack shows that its sender
 * received this ping. Entries expire, and all are dropped after a pause, because
 * acks of earlier pings say nothing about the current state.
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
  /** Removes and returns the ping that an ack from this member matches. */
  resolve: (nonce: number, from: string) => PendingPing | undefined
  expire: (olderThanMs: number) => void
  relayCount: () => number
  clear: () => void
}

const NONCE_HALF_RANGE = 0x1000000

export const createPingTracker = (random: Random): PingTracker => {
  const pings = new Map<number, PendingPing>()
  const newNonce = (): number => random.int(NONCE_HALF_RANGE) * NONCE_HALF_RANGE + random.int(NONCE_HALF_RANGE)
  return {
    start: ping => {
      const nonce = newNonce()
      pings.set(nonce, ping)
      return nonce
    },
    resolve: (nonce, from) => {
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
