/**
 * Writes log lines without ever waiting for their reader. Node writes to a
 * pipe synchronously, so a reader that stops would stop the process; here
 * lines are buffered up to a limit and dropped and counted above it.
 */
import { destination as openDestination } from 'pino'

export type LineWriter = {
  write: (line: string) => void
  /** Lines that were dropped since the last call. */
  takeDropped: () => number
  /** Writes what is buffered; for the end of the process. */
  flush: () => void
}

const BUFFER_BYTES_MAX = 262_144

/** @param fd file descriptor to write to */
export const createLineWriter = (fd: number, bufferBytesMax = BUFFER_BYTES_MAX): LineWriter => {
  const destination = openDestination({ dest: fd, sync: false, minLength: 0, maxLength: bufferBytesMax })
  let dropped = 0
  destination.on('drop', () => { dropped++ })
  // A closed pipe costs lines and nothing else; there is no other place to tell it.
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
        // The reader does not read, and the process must end all the same.
      }
    }
  }
}
