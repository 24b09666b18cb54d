/**
 * Resets a TCP connection.
 */
import type { Socket } from 'node:net'

/**
 * Closes a connection with an RST and discards data that is still buffered.
 * `resetAndDestroy` of Node 20 first flushes the buffer, which never ends when
 * the peer does not read, and then sends a FIN. When a FIN is already pending,
 * the reset fails with EINVAL, the handle stays open, and the event loop can
 * spin on it. Such a connection is therefore closed without a reset.
 * @param error emitted by the socket
 */
export const resetSocket = (socket: Socket, error?: Error): void => {
  const isFinPending = socket.writableEnded && !socket.writableFinished
  if (!isFinPending && !socket.destroyed && !socket.connecting) Object.assign(socket, { resetAndClosing: true })
  socket.destroy(error)
}
