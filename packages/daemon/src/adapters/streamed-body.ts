/**
 * Body of a request that is sent while it is still being received. undici writes
 * whatever its stream gives and then the end of a body, so what it writes is checked
 * at both ends: nothing may be missing at the beginning, and the end is written only
 * behind all bytes that were received.
 */
import type { Readable } from 'node:stream'
import type { SendFailure } from './backend-http.js'

export type StreamedBody = {
  /** Holds all bytes that were received so far and gets the others; nothing was read from it yet. */
  stream: Readable
  /** Number of bytes that were received so far. */
  receivedBytes: () => number
  /** Whether all bytes were received. */
  isEnded: () => boolean
}

export type OutgoingBody = Buffer | StreamedBody | null

export type StreamedBodyChecks = {
  /** To be called before undici reads from the stream. */
  start: () => void
  /** Bytes of the body were written. */
  recordSent: (sizeBytes: number) => void
}

/**
 * @param allowWrite called before each write; returns false if nothing may be written
 * @param fail ends the request and resets its connection
 */
export const createStreamedBodyChecks = (
  { stream, receivedBytes, isEnded }: StreamedBody, allowWrite: () => boolean, fail: (failure: SendFailure) => void
): StreamedBodyChecks => {
  let sentBytes = 0

  const allowEnd = (): void => {
    if (allowWrite() && sentBytes !== receivedBytes()) fail({ kind: 'lost', message: 'a part of the body was not passed on' })
  }

  return {
    start: () => {
      if (stream.readableLength !== receivedBytes()) fail({ kind: 'not-sent', message: 'the beginning of the body is missing' })
      // undici sends a stream that has ended and is empty as no body, before the stream emits any event.
      else if (isEnded() && receivedBytes() === 0) allowWrite()
      // undici writes the head of a streamed request together with its first
      // chunk. These listeners run directly before undici's own listeners.
      else stream.on('data', allowWrite).on('end', allowEnd).pause()
    },
    recordSent: sizeBytes => { sentBytes += sizeBytes }
  }
}
