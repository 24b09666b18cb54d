/**
 * Planned stop of a node: peers and entry answers leave it out first, callers
 * that still know its address are served until their entry answer is outdated,
 * and what is in flight is finished.
 */
import type { Server } from 'node:http'
import type { Clock } from '@wisteriavalve/common'
import { LEAVE_QUIET_MS } from './constants.js'

const CHECK_MS = 50
/** Lifetimes of entry answers vary by a fifth. */
const LIFETIME_FACTOR = 1.2
/** Part of a bounded departure in which callers are still served; the rest is left for requests in flight. */
const ACCEPT_SHARE = 0.6

export type DepartureOptions = {
  clock: Clock
  server: Server
  connectionCount: () => number
  inFlightCount: () => number
  entryLifetimeMs: number
  /** Longest time for the whole departure; 0 waits for the last request. */
  stopTimeoutMs: number
}

/** Calls done once the condition has held for a time, or the time is over. */
const waitUntil = (clock: Clock, isReached: () => boolean, holdMs: number, endMs: number): Promise<void> => new Promise(resolve => {
  let sinceMs = Infinity
  const check = (): void => {
    const nowMs = clock.nowMs()
    if (!isReached()) sinceMs = Infinity
    else if (sinceMs === Infinity) sinceMs = nowMs
    if (nowMs - sinceMs >= holdMs || nowMs >= endMs) resolve()
    else clock.after(CHECK_MS, check)
  }
  check()
})

export const depart = async ({ clock, server, connectionCount, inFlightCount, entryLifetimeMs, stopTimeoutMs }: DepartureOptions): Promise<void> => {
  const startMs = clock.nowMs()
  const endMs = stopTimeoutMs === 0 ? Infinity : startMs + stopTimeoutMs
  const acceptMs = stopTimeoutMs === 0 ? Infinity : ACCEPT_SHARE * stopTimeoutMs
  const acceptUntilMs = startMs + Math.min(acceptMs, entryLifetimeMs * LIFETIME_FACTOR)
  await waitUntil(clock, () => connectionCount() === 0, LEAVE_QUIET_MS, acceptUntilMs)
  server.close()
  server.closeIdleConnections()
  await waitUntil(clock, () => inFlightCount() === 0, 0, endMs)
  server.closeAllConnections()
}
