/**
 * Writes the response of a backend server to its caller. Callers may send further
 * requests before the first one is answered, and get the responses in that order.
 * A response is handed to node:http only in its turn or when it is whole, and a
 * small one is held for a moment until it is whole. A response that breaks off
 * before can be replaced by another attempt or by a failure; the responses in front
 * of it and behind it reach the caller as usual.
 */
import type { Call } from './adapters/caller-http.js'
import { writeResponseHead, type ResponseHeadFields } from './adapters/response-head.js'
import { HELD_RESPONSE_BYTES_MAX, HELD_RESPONSE_MS_MAX } from './constants.js'

/** Above this size, copying the chunk costs more than a second buffer in the write. */
const JOINED_WRITE_BYTES_MAX = 4_096

export type WriterHead = ResponseHeadFields & {
  /** Announced length of the body; undefined if there is none. */
  bodyBytes: number | undefined
}

export type ResponseWriter = {
  /** Hands over the head and the body so far, in turn or not. @returns false if node:http refuses the head */
  start: () => boolean
  /** @returns false if no more is to be read until `onDrain` */
  write: (chunk: Buffer) => boolean
  /** @param trailers raw trailers of the whole response */
  end: (trailers: Array<[string, string]>) => void
  /** Whether nothing was handed over yet. */
  isWaiting: () => boolean
  /** Whether reading is held back until the caller, or the responses in front, have taken what is there. */
  isBlocked: () => boolean
  /** Drops what was not handed over. */
  drop: () => void
}

export type WriterOptions = {
  call: Call
  head: WriterHead
  /** Called at most once, when node:http refuses the head. Nothing was written then. */
  onRefused: (message: string) => void
  /** Called when more may be read. */
  onDrain: () => void
  /** Calls the step after a time, unless the returned function is called before. */
  schedule: (delayMs: number, step: () => void) => () => void
}

/**
 * Whether a response in its turn is held until it is whole: a small one, which gets
 * no later to its end by that, and one with requests behind it, whose responses
 * would be lost with its rest.
 */
const isHoldable = ({ bodyBytes }: WriterHead, call: Call): boolean =>
  bodyBytes === undefined ? !call.isLatest() : bodyBytes <= HELD_RESPONSE_BYTES_MAX

export const createResponseWriter = ({ call, head, onRefused, onDrain, schedule }: WriterOptions): ResponseWriter => {
  const { res } = call
  let state: 'waiting' | 'started' | 'dropped' = 'waiting'
  let held: Buffer[] = []
  let heldBytes = 0
  let isHoldOver = false
  let isBlocked = false

  const stopWaiting = (next: 'started' | 'dropped'): Buffer[] => {
    state = next
    cancelTurn()
    cancelHold()
    const chunks = held
    held = []
    return chunks
  }

  const resumeOnDrain = (): void => {
    isBlocked = true
    res.once('drain', () => {
      isBlocked = false
      onDrain()
    })
  }

  // node:http joins the head and the first chunk into one write only if the chunk is a string.
  const sendFirst = (chunk: Buffer): boolean =>
    chunk.length <= JOINED_WRITE_BYTES_MAX ? res.write(chunk.toString('latin1'), 'latin1') : res.write(chunk)

  const sendHeld = ([first, ...others]: Buffer[]): void => {
    if (first) sendFirst(first)
    for (const chunk of others) res.write(chunk)
    const wasBlocked = isBlocked
    isBlocked = false
    if (res.writableNeedDrain) resumeOnDrain()
    else if (wasBlocked) onDrain()
  }

  const start = (): boolean => {
    if (state !== 'waiting') return state === 'started'
    try {
      writeResponseHead(call.req, res, head)
    } catch (error) {
      stopWaiting('dropped')
      onRefused(error instanceof Error ? error.message : 'the response head cannot be forwarded')
      return false
    }
    sendHeld(stopWaiting('started'))
    return true
  }

  /** node:http sends the head with the first bytes of the body. It is flushed here, so a slow body does not delay it. */
  const startInTurn = (): void => {
    if (state !== 'waiting' || !call.isInTurn()) return
    const hasBody = held.length > 0
    if (start() && !hasBody) res.flushHeaders()
  }

  const isHeldInTurn = (): boolean => !isHoldOver && heldBytes < HELD_RESPONSE_BYTES_MAX && isHoldable(head, call)

  const cancelTurn = call.onTurn(() => { if (!isHeldInTurn()) startInTurn() })
  const cancelHold = schedule(HELD_RESPONSE_MS_MAX, () => {
    isHoldOver = true
    startInTurn()
  })

  return {
    start,
    write: chunk => {
      if (state === 'dropped') return true
      if (state === 'started') {
        if (res.write(chunk)) return true
        if (!isBlocked) resumeOnDrain()
        return false
      }
      held.push(chunk)
      heldBytes += chunk.length
      isBlocked = heldBytes >= HELD_RESPONSE_BYTES_MAX
      if (call.isInTurn() && !isHeldInTurn()) start()
      return !isBlocked
    },
    end: trailers => {
      if (!start()) return
      if (trailers.length > 0) res.addTrailers(trailers)
      res.end()
    },
    isWaiting: () => state === 'waiting',
    isBlocked: () => isBlocked,
    drop: () => { if (state === 'waiting') stopWaiting('dropped') }
  }
}
