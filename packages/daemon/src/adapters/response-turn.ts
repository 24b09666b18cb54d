/**
 * Turns of the responses on a connection. Callers may send further requests before
 * the first one is answered; the responses go out in that order.
 */
import type { ServerResponse } from 'node:http'

/** node:http gives a response its socket when the responses in front of it have ended. */
export const isInTurn = (res: ServerResponse): boolean => res.socket !== null

/** Calls the listener when the response is in turn, soon if it is already. @returns a function that cancels this */
export const onTurn = (res: ServerResponse, listener: () => void): () => void => {
  let isCancelled = false
  const run = (): void => process.nextTick(() => { if (!isCancelled) listener() })
  if (isInTurn(res)) run()
  else res.once('socket', run)
  return () => {
    isCancelled = true
    res.off('socket', run)
  }
}
