/**
 * Closes a listening socket without losing connections that the kernel has
 * accepted on its behalf.
 *
 * Closing the socket resets every connection in its queue, also when a request
 * has already been written on it. Callers that open a connection for each request
 * keep the queue from ever being empty, so requests are held first: a caller that
 * waits for a response opens no other connection. When no connection has arrived
 * for a while, the socket is closed at the end of a turn of the event loop that
 * was short and brought none, right after the loop has polled the socket. Then the
 * held requests are handled. A connection of a caller that does not wait for
 * responses can still be lost if it arrives within that turn.
 */
import type { Server } from 'node:http'
import { createServer, Server as NetServer } from 'node:net'
import type { Clock } from '@wisteriavalve/common'
import type { CallerServer } from './adapters/caller-http.js'

const CHECK_INTERVAL_MS = 5
/** Longer than most callers wait between a response and their next connection. */
const QUIET_MS = 50
/** Longest time for which requests are held until no connection arrives. */
const HOLD_MS_MAX = 300
/** A turn of the event loop that takes longer has done other work since the queue was emptied. */
const SHORT_TURN_MS = 0.02
/** The socket is closed after this time also if no turn was short and without a connection. */
const LAST_TURN_TIMEOUT_MS = 50

const closeSocketOf = (server: Server | NetServer): void => { NetServer.prototype.close.call(server) }

/** Closes another listening socket, because the first call of a function takes several times as long as a later one. */
const rehearseClose = (): Promise<void> => new Promise(resolve => {
  const other = createServer().once('error', () => resolve())
  other.listen(0, '127.0.0.1', () => {
    closeSocketOf(other)
    resolve()
  })
})

/** Resolves when no connection has arrived for a while. */
const waitForQuiet = (clock: Clock, acceptedCount: () => number): Promise<void> => new Promise(resolve => {
  const endMs = clock.nowMs() + HOLD_MS_MAX
  let acceptedBefore = acceptedCount()
  let quietSinceMs = clock.nowMs()
  const check = (): void => {
    const nowMs = clock.nowMs()
    if (acceptedCount() !== acceptedBefore) quietSinceMs = nowMs
    acceptedBefore = acceptedCount()
    if (nowMs - quietSinceMs >= QUIET_MS || nowMs >= endMs) resolve()
    else clock.after(CHECK_INTERVAL_MS, check)
  }
  check()
})

const closeAfterEmptyTurn = (clock: Clock, { server, acceptedCount }: CallerServer): Promise<void> => new Promise(resolve => {
  const endMs = clock.nowMs() + LAST_TURN_TIMEOUT_MS
  let turnStartMs = -Infinity
  let acceptedBefore = acceptedCount()
  const onTurnEnd = (): void => {
    const nowMs = clock.nowMs()
    const isQueueEmpty = acceptedCount() === acceptedBefore && nowMs - turnStartMs <= SHORT_TURN_MS
    if (isQueueEmpty || nowMs >= endMs) {
      // The listening socket is closed before node:http looks at its connections, which takes longer.
      closeSocketOf(server)
      server.close()
      resolve()
      return
    }
    acceptedBefore = acceptedCount()
    turnStartMs = nowMs
    setImmediate(onTurnEnd)
  }
  setImmediate(onTurnEnd)
})

export const closeListener = async (clock: Clock, callerServer: CallerServer): Promise<void> => {
  await rehearseClose()
  callerServer.holdCalls()
  try {
    await waitForQuiet(clock, callerServer.acceptedCount)
    await closeAfterEmptyTurn(clock, callerServer)
  } finally {
    callerServer.releaseCalls()
  }
}
