/**
 * Closes a listening socket without losing connections that the kernel has
 * accepted on its behalf.
 *
 * Closing the socket resets every connection in its queue, also when a request
 * has already been written on it. The queue is empty right after the event loop
 * has polled the socket, so the socket is closed at the end of a turn of the
 * loop that was short and brought no connection. A connection that the kernel
 * accepts within that turn, which takes some microseconds, can still be lost.
 */
import type { Server } from 'node:http'
import { createServer, Server as NetServer } from 'node:net'
import type { Clock } from '@wisteriavalve/common'

/** A turn of the event loop that takes longer has done other work since the queue was emptied. */
const SHORT_TURN_MS = 0.01
/** The socket is closed after this time also if no turn was short. */
const DRAIN_TIMEOUT_MS = 250

export type ListenerOptions = {
  clock: Clock
  server: Server
  /** Number of connections that were accepted since the start. */
  acceptedCount: () => number
}

const closeSocketOf = (server: Server | NetServer): void => { NetServer.prototype.close.call(server) }

/** Closes another listening socket, because the first call of a function takes several times as long as a later one. */
const rehearseClose = (): Promise<void> => new Promise(resolve => {
  const other = createServer().once('error', () => resolve())
  other.listen(0, '127.0.0.1', () => {
    closeSocketOf(other)
    resolve()
  })
})

const closeAfterEmptyTurn = ({ clock, server, acceptedCount }: ListenerOptions): Promise<void> => new Promise(resolve => {
  const endMs = clock.nowMs() + DRAIN_TIMEOUT_MS
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

export const closeListener = async (options: ListenerOptions): Promise<void> => {
  await rehearseClose()
  await closeAfterEmptyTurn(options)
}
