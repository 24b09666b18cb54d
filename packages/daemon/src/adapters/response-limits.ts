const STATUS_MIN = 100
const STATUS_MAX = 599

/** Whether the status has a class; a response with any other one is invalid (RFC 9110, section 15). */
export const isResponseStatus = (status: number): boolean => status >= STATUS_MIN && status <= STATUS_MAX

/**
 * Limits on the bytes of a response that are not part of its body, and the pace
 * at which a response is parsed. Bytes outside of the body cost more time and
 * memory than others, since each line and each chunk is parsed on its own.
 */
import {
  CHUNK_OVERHEAD_FACTOR, RESPONSE_HEADER_BYTES_MAX, RESPONSE_OVERHEAD_BYTES_MAX, SLOW_LINES_MAX, SLOW_OVERHEAD_BYTES, SLOW_OVERHEAD_SHARE
} from '../constants.js'
import type { ReadPace } from './read-gate.js'

export type ResponseLimits = {
  /** Records bytes before they are parsed. */
  recordPiece: (piece: Buffer, pace: ReadPace) => void
  /** Records that the head of the response was read. */
  recordHead: () => void
  recordBody: (sizeBytes: number) => void
  bodyBytes: () => number
  /** Describes the limit that the bytes so far exceed; undefined if there is none. */
  exceeded: () => string | undefined
  pace: () => ReadPace
}

const LINE_END = 0x0a

/** Counts up to the maximum, so that the cost stays small. */
const countLines = (piece: Buffer, max: number): number => {
  let count = 0
  for (let index = piece.indexOf(LINE_END); index >= 0 && count < max; index = piece.indexOf(LINE_END, index + 1)) count++
  return count
}

export const createResponseLimits = (): ResponseLimits => {
  let receivedBytes = 0
  let bodyBytes = 0
  let hasHead = false
  /** Received bytes and lines since the head or the last byte of the body. */
  let bytesInARow = 0
  let slowLinesInARow = 0

  const resetRow = (): void => {
    bytesInARow = 0
    slowLinesInARow = 0
  }

  const overheadBytes = (): number => receivedBytes - bodyBytes

  return {
    recordPiece: (piece, pace) => {
      receivedBytes += piece.length
      bytesInARow += piece.length
      if (pace === 'slow') slowLinesInARow += countLines(piece, SLOW_LINES_MAX + 1)
    },
    recordHead: () => {
      hasHead = true
      resetRow()
    },
    recordBody: sizeBytes => {
      bodyBytes += sizeBytes
      resetRow()
    },
    bodyBytes: () => bodyBytes,
    exceeded: () => {
      if (slowLinesInARow > SLOW_LINES_MAX) return `the response has more than ${SLOW_LINES_MAX} lines in a row outside of its body`
      if (bytesInARow > RESPONSE_HEADER_BYTES_MAX) return `the response has ${bytesInARow} bytes in a row outside of its body`
      if (overheadBytes() > RESPONSE_OVERHEAD_BYTES_MAX + CHUNK_OVERHEAD_FACTOR * bodyBytes) return `the response has ${overheadBytes()} bytes outside of its body`
      return undefined
    },
    pace: () => {
      if (overheadBytes() > SLOW_OVERHEAD_BYTES + SLOW_OVERHEAD_SHARE * bodyBytes) return 'slow'
      return hasHead ? 'free' : 'piecewise'
    }
  }
}
