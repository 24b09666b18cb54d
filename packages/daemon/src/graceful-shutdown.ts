/**
 * Graceful shutdown of a node. Peers and entry answers have already stopped
 * listing it. Callers that still hold its address are served until their entry
 * answer expires. Then no new connections are accepted, and the requests on
 * those that were accepted before are finished.
 */
import type { Clock } from '@wisteriavalve/common'
import type { CallerServer } from './adapters/caller-http.js'
import { closeListener } from './close-listener.js'
import { LEAVE_QUIET_MS } from './constants.js'

const CHECK_INTERVAL_MS = 50
/** Lifetimes of entry answers have a jitter of up to 20 %. */
const ENTRY_LIFETIME_FACTOR = 1.2
/**
 * Share of a bounded shutdown in which new requests are accepted; the rest is
 * reserved for requests in flight.
 */
const ACCEPT_SHARE = 0.6

/**
 * Share of a bounded shutdown in which requests are still sent to targets. Later
 * ones are refused as not run, because they could be cut off at its end.
 */
const SEND_SHARE = 0.5

/** Time from which a node that stops sends no further request; Infinity if the shutdown waits for all requests. */
export const sendEndMs = (startMs: number, stopTimeoutMs: number): number =>
  stopTimeoutMs === 0 ? Infinity : startMs + SEND_SHARE * stopTimeoutMs

export type GracefulShutdownOptions = {
  clock: Clock
  callerServer: CallerServer
  inFlightCount: () => number
  entryLifetimeMs: number
  /** Maximum time for the whole shutdown; 0 waits for the last request. */
  stopTimeoutMs: number
}

/** Resolves when the condition has held for `holdMs`, or at `endMs`. */
const waitUntil = (clock: Clock, isReached: () => boolean, holdMs: number, endMs: number): Promise<void> => new Promise(resolve => {
  let sinceMs = Infinity
  const check = (): void => {
    const nowMs = clock.nowMs()
    if (!isReached()) sinceMs = Infinity
    else if (sinceMs === Infinity) sinceMs = nowMs
    if (nowMs - sinceMs >= holdMs || nowMs >= endMs) resolve()
    else clock.after(CHECK_INTERVAL_MS, check)
  }
  check()
})

export const shutDownGracefully = async ({ clock, callerServer, inFlightCount, entryLifetimeMs, stopTimeoutMs }: GracefulShutdownOptions): Promise<void> => {
  const { server, connectionCount } = callerServer
  const startMs = clock.nowMs()
  const endMs = stopTimeoutMs === 0 ? Infinity : startMs + stopTimeoutMs
  const acceptMs = stopTimeoutMs === 0 ? Infinity : ACCEPT_SHARE * stopTimeoutMs
  const acceptUntilMs = startMs + Math.min(acceptMs, entryLifetimeMs * ENTRY_LIFETIME_FACTOR)
  await waitUntil(clock, () => connectionCount() === 0, LEAVE_QUIET_MS, acceptUntilMs)
  await closeListener(clock, callerServer)
  // A connection without a request in flight may still bring its first one.
  const closedMs = clock.nowMs()
  const isDone = (): boolean => connectionCount() === 0 || (inFlightCount() === 0 && clock.nowMs() - closedMs >= LEAVE_QUIET_MS)
  await waitUntil(clock, isDone, 0, endMs)
  server.closeAllConnections()
}
