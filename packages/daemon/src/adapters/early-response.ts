/**
 * Decides whether a response that comes before its request has been written whole
 * waits for the rest. undici closes a connection whose response is complete while
 * its request is still being written, so a target that reports success and reads on
 * would lose the end of an upload that its caller believes to be stored. Any other
 * response ends the upload: it is passed on at once.
 */
import { EARLY_RESPONSE_IDLE_MS } from '../constants.js'

export type EarlyResponseHold = {
  /** Holds a response that begins with these bytes if it has to wait; returns whether it does. */
  tryHold: (bytes: Buffer) => boolean
  /** Bytes of the request's body were written. */
  recordProgress: () => void
  /** The request was written whole, or has ended. Nothing is held any more. */
  end: () => void
}

/** A success, whose connection the target has not announced to close in the bytes at hand. */
const SUCCESS = /^HTTP\/1\.1 2\d\d[ \r]/
const CLOSING = /^connection:[^\r\n]*\bclose\b/im
const HEAD_END = '\r\n\r\n'

/** @param bytes the first bytes of a response */
const isLastingSuccess = (bytes: Buffer): boolean => {
  const text = bytes.toString('latin1')
  const [head = ''] = text.split(HEAD_END, 1)
  return SUCCESS.test(head) && !CLOSING.test(head)
}

/**
 * Holds one response while the target goes on reading the request, for a limited time.
 * @param msMax longest time; Infinity for no limit
 * @param release called when a response that is held must be passed on
 */
export const createEarlyResponseHold = (msMax = Infinity, release: () => void): EarlyResponseHold => {
  let isOver = false
  let timers: NodeJS.Timeout[] = []

  const end = (): void => {
    if (isOver) return
    isOver = true
    for (const timer of timers) clearTimeout(timer)
    release()
  }

  return {
    tryHold: bytes => {
      if (isOver || msMax <= 0 || !isLastingSuccess(bytes)) return false
      timers = [EARLY_RESPONSE_IDLE_MS, msMax].filter(Number.isFinite).map(delayMs => setTimeout(end, delayMs))
      return true
    },
    recordProgress: () => { timers[0]?.refresh() },
    end
  }
}
