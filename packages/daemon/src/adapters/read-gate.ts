/**
 * Flow control for a socket that undici reads.
 *
 * undici stops reading by pausing its parser, and it asserts that the parser is
 * not paused whenever a connection ends: by the peer, by a reset or by this node.
 * The failed assertion is outside of any request and would end the process. So
 * undici's parser is never paused here. While the gate is held, the socket hands
 * out no bytes; they stay in its buffer, and from there in the kernel. Everything
 * that the socket has handed out is parsed before any end of the connection.
 */
import type { Socket } from 'node:net'

export type ReadGate = {
  /** Stops reading. What is being parsed at this moment is still passed on. */
  hold: () => void
  /** Continues reading, after the current call stack. */
  release: () => void
}

/** Takes over reading from the socket, which must be read in paused mode. */
export const createReadGate = (socket: Socket): ReadGate => {
  const read = socket.read.bind(socket)
  let isHeld = false
  // A size of 0 hands out nothing; node:stream uses it to fill its buffer.
  socket.read = size => isHeld && size !== 0 ? null : read(size)
  return {
    hold: () => { isHeld = true },
    release: () => {
      if (!isHeld) return
      isHeld = false
      // undici's parser must not be entered again from one of its own callbacks.
      queueMicrotask(() => { if (!isHeld && !socket.destroyed) socket.emit('readable') })
    }
  }
}
