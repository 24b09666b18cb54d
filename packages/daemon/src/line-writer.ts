/**
 * Writes log lines without waiting for the reader. Node.js writes to a pipe
 * synchronously, so a reader that stops reading would block the process. Lines
 * are buffered here up to a limit; above it they are dropped and counted.
 */
import { destination as openDestination } from 'pino'

export type LineWriter = {
  write: (line: string) => void
  /** Number of lines dropped since the last call. */
  takeDropped: () => number
  /** Writes the buffered lines; called when the process exits. */
  flush: () => void
}

const BUFFER_BYTES_MAX = 262_144

/** @param fd file descriptor to write to */
export const createLineWriter = (fd: number, bufferBytesMax = BUFFER_BYTES_MAX): LineWriter => {
  const destination = openDestination({ dest: fd, sync: false, minLength: 0, maxLength: bufferBytesMax })
  let dropped = 0
  destination.on('drop', () => { dropped++ })
  // A closed pipe only loses lines, and the error cannot be logged anywhere else.
  destination.on('error', () => { dropped++ })
  return {
    write: line => { destination.write(`${line}\n`) },
    takeDropped: () => {
      const count = dropped
      dropped = 0
      return count
    },
    flush: () => {
      try {
        destination.flushSync()
      } catch {
        // The reader does not read, and the process must exit anyway.
      }
    }
  }
}
