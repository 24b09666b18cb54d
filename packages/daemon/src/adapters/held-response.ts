/**
 * Holds a response whose end only the end of its connection marks, until that end
 * is known. A reset on the way then ends no response that its caller has begun to
 * receive: the request can be sent again or be answered with a failure, and the
 * requests behind it on the caller's connection keep theirs. Larger or slower
 * responses are passed on as they arrive.
 */
import { HELD_RESPONSE_BYTES_MAX, HELD_RESPONSE_MS_MAX } from '../constants.js'

export type HeldResponse = {
  /** Takes bytes of the body; returns false when they are to be passed on at once. */
  add: (chunk: Buffer) => boolean
  /** Passes on what is held. Further calls have no effect. */
  release: () => void
  /** Drops what is held. */
  drop: () => void
}

/**
 * @param passOnHead called once, before `passOn`, unless the response is dropped
 * @param passOn called with each piece of the body that was held
 */
export const createHeldResponse = (passOnHead: () => void, passOn: (chunk: Buffer) => void): HeldResponse => {
  let chunks: Buffer[] = []
  let sizeBytes = 0
  let isHeld = true

  const drop = (): void => {
    isHeld = false
    chunks = []
    clearTimeout(timer)
  }

  const release = (): void => {
    if (!isHeld) return
    const held = chunks
    drop()
    passOnHead()
    for (const chunk of held) passOn(chunk)
  }

  const timer = setTimeout(release, HELD_RESPONSE_MS_MAX)

  return {
    release,
    drop,
    add: chunk => {
      if (!isHeld) return false
      chunks.push(chunk)
      sizeBytes += chunk.length
      if (sizeBytes > HELD_RESPONSE_BYTES_MAX) release()
      return true
    }
  }
}
