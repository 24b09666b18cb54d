/**
 * Reset of a TCP connection.
 */
import type { Socket } from 'node:net'

/**
 * Ends a connection with an RST and without sending what is still buffered.
 * `resetAndDestroy` of Node 20 first waits for the buffer, for good when the
 * other side does not read, and sends a FIN. When a FIN is under way already,
 * the reset fails with EINVAL, the handle stays open, and the event loop can
 * spin on it; such a connection is only closed.
 */
export const resetSocket = (socket: Socket): void => {
  const isFinUnderWay = socket.writableEnded && !socket.writableFinished
  if (!isFinUnderWay && !socket.destroyed && !socket.connecting) Object.assign(socket, { resetAndClosing: true })
  socket.destroy()
}
