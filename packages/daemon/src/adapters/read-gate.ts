/**
 * Flow control for a socket that undici reads.
 *
 * undici stops reading by pausing its parser, and it asserts that the parser is
 * not paused whenever a connection ends: by the peer, by a reset or by this node.
 * The failed assertion is outside of any request and would end the process. So
 * undici's parser is never paused here. While the gate is held, the socket hands
 * out no bytes; they stay in its buffer, and from there in the kernel. Everything
 * that the socket has handed out is parsed before any end of the connection.
 *
 * undici also parses all bytes that it gets at once. Bytes that cost more time
 * than others are therefore handed out in small pieces, within a share of the
 * processor that all connections have together.
 *
 * A piece can also be held back before undici has seen any of it, with all that
 * follows it, until `passHeldPiece` or the end of the connection.
 */
import type { Socket } from 'node:net'
import { PIECE_BYTES, SLOW_PIECE_BYTES, SLOW_READING_MS, SLOW_READING_PAUSE_MS } from '../constants.js'
import { createWorkBudget } from './work-budget.js'

/** `piecewise` and `slow` hand out small pieces, the latter within the shared share of the processor; `stop` hands out nothing. */
export type ReadPace = 'free' | 'piecewise' | 'slow' | 'stop'

export type ReadPacing = {
  /** Called before each piece. */
  choosePace: () => ReadPace
  /** Called with each piece before it is parsed. */
  onPiece: (piece: Buffer, pace: ReadPace) => void
  /** Called with each piece before it is handed out; returns true to hold it back. */
  holdsBack?: (piece: Buffer) => boolean
}

export type ReadGate = {
  /** Stops reading. The piece that is being parsed is still passed on. */
  hold: () => void
  /** Continues reading, after the current call stack. */
  release: () => void
  /** Hands out a piece that is held back, after the current call stack. */
  passHeldPiece: () => void
  /** Sets the pace of the running request; undefined removes it. */
  setPacing: (pacing: ReadPacing | undefined) => void
}

const slowReading = createWorkBudget({
  workMs: SLOW_READING_MS,
  nowMs: () => performance.now(),
  schedule: run => { setTimeout(run, SLOW_READING_PAUSE_MS) }
})

/** Takes over reading from the socket, which must be read in paused mode. */
export const createReadGate = (socket: Socket): ReadGate => {
  const read = socket.read.bind(socket)
  let isHeld = false
  let isWaiting = false
  let pacing: ReadPacing | undefined
  let heldPiece: Buffer | undefined
  let isHoldingPiece = false

  const continueReading = (): void => { if (!isHeld && !socket.destroyed) socket.emit('readable') }

  const retrySlowReading = (): void => {
    isWaiting = false
    continueReading()
  }

  const startSlowPiece = (): boolean => {
    if (isWaiting) return false
    isWaiting = !slowReading.tryStart(retrySlowReading)
    return !isWaiting
  }

  const readPiece = (pace: ReadPace): Buffer | null => {
    if (pace === 'stop' || (pace === 'slow' && socket.readableLength > 0 && !startSlowPiece())) return null
    const bytesMax = pace === 'slow' ? SLOW_PIECE_BYTES : pace === 'piecewise' ? PIECE_BYTES : Infinity
    const piece: Buffer | null = socket.readableLength > bytesMax ? read(bytesMax) : read()
    if (!piece) return null
    if (pacing?.holdsBack?.(piece)) {
      heldPiece = piece
      isHoldingPiece = true
      return null
    }
    pacing?.onPiece(piece, pace)
    return piece
  }

  // Runs before undici's own listener, which takes the end for that of a response that it has not seen.
  socket.prependListener('end', () => {
    if (!isHoldingPiece) return
    isHoldingPiece = false
    continueReading()
  })

  const takeHeldPiece = (): Buffer | undefined => {
    const piece = heldPiece
    heldPiece = undefined
    if (piece) pacing?.onPiece(piece, 'free')
    return piece
  }

  // undici reads again right after it has parsed a piece. A size of 0 hands out nothing; node:stream uses it to fill its buffer.
  socket.read = size => {
    if (size === 0) return read(0)
    slowReading.end()
    if (isHeld || isHoldingPiece) return null
    return takeHeldPiece() ?? readPiece(pacing?.choosePace() ?? 'free')
  }

  return {
    hold: () => { isHeld = true },
    release: () => {
      if (!isHeld) return
      isHeld = false
      // undici's parser must not be entered again from one of its own callbacks.
      queueMicrotask(continueReading)
    },
    passHeldPiece: () => {
      if (!isHoldingPiece) return
      isHoldingPiece = false
      queueMicrotask(continueReading)
    },
    setPacing: next => { pacing = next }
  }
}
