/**
 * Ends connections of callers. Closing a socket with unread bytes, or resetting
 * it, can discard responses that are still on their way to the caller.
 */
import type { Duplex } from 'node:stream'
import { LINGER_MS } from '../constants.js'

const ignoreError = (): void => undefined

/**
 * Sends a last text on a socket and closes it, also when the caller reads nothing.
 * node:http removes its error listener from the socket of a CONNECT request, and an
 * error event without a listener would end the process. Further bytes are read and
 * dropped, because closing a socket with unread bytes would reset it before the
 * caller has received what was sent.
 */
export const endSocket = (socket: Duplex, text = ''): void => {
  const timer = setTimeout(() => socket.destroy(), LINGER_MS)
  socket.on('error', ignoreError)
  socket.once('close', () => clearTimeout(timer))
  socket.resume()
  socket.end(text)
}
