/**
 * Finds out whether a target has ended when one of its connections broke. A
 * process that has ended leaves a port that refuses connections; a target that
 * only reset a connection accepts the next one.
 */
import { connect } from 'node:net'
import type { Clock } from '@wisteriavalve/common'
import type { Target } from '@wisteriavalve/schema'

export type TargetCheckResult = 'ended' | 'alive' | 'unknown'

/** @param done called once, with unknown if the target neither accepts nor refuses a connection in time */
export type CheckTarget = (target: Target, done: (result: TargetCheckResult) => void) => void

const CONNECT_TIMEOUT_MS = 500
/** A process that ends can accept a connection until its listening socket is closed. */
const SECOND_CHECK_DELAY_MS = 150
const REFUSED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET'])

const checkOnce = (clock: Clock, { host, port }: Target, done: (result: TargetCheckResult) => void): void => {
  const socket = connect({ host, port })
  const finish = (result: TargetCheckResult): void => {
    cancelTimeout()
    socket.removeAllListeners().on('error', () => undefined).destroy()
    done(result)
  }
  const cancelTimeout = clock.after(CONNECT_TIMEOUT_MS, () => finish('unknown'))
  socket.once('connect', () => finish('alive'))
  socket.once('error', (error: NodeJS.ErrnoException) => finish(REFUSED_CODES.has(error.code ?? '') ? 'ended' : 'unknown'))
}

export const createTargetCheck = (clock: Clock): CheckTarget => (target, done) => checkOnce(clock, target, first => {
  if (first !== 'alive') done(first)
  else clock.after(SECOND_CHECK_DELAY_MS, () => checkOnce(clock, target, done))
})
