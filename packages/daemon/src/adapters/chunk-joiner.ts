/**
 * Joins small pieces of a body that arrive together, since each write to a caller
 * has a cost of its own. A body of chunks of one byte would otherwise need a
 * hundred times its size in memory.
 */
import { JOINED_CHUNKS_BYTES, SMALL_CHUNK_BYTES } from '../constants.js'

export type ChunkJoiner = {
  /** Passes on the piece at once, or together with the next ones of this call stack. */
  add: (chunk: Buffer) => void
  /** Passes on all pieces that wait. */
  flush: () => void
}

export const createChunkJoiner = (deliver: (chunk: Buffer) => void): ChunkJoiner => {
  let waiting: Buffer[] = []
  let waitingBytes = 0

  const flush = (): void => {
    const [first, ...others] = waiting
    if (!first) return
    const joined = others.length === 0 ? first : Buffer.concat(waiting, waitingBytes)
    waiting = []
    waitingBytes = 0
    deliver(joined)
  }

  return {
    flush,
    add: chunk => {
      if (chunk.length >= SMALL_CHUNK_BYTES) {
        flush()
        deliver(chunk)
        return
      }
      waiting.push(chunk)
      waitingBytes += chunk.length
      if (waitingBytes >= JOINED_CHUNKS_BYTES) flush()
      else if (waiting.length === 1) queueMicrotask(flush)
    }
  }
}
