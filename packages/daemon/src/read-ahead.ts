/**
 * Bounds the memory for bodies that are read before an attempt reads them. The end of
 * a caller's connection is seen only behind all bytes that came before it, so a body
 * that waits for a target is read all the same.
 */
export type ReadAhead = {
  /** Takes memory for bytes of one body, which holds some already; returns false if there is none left. */
  tryTake: (heldBytes: number, sizeBytes: number) => boolean
  release: (sizeBytes: number) => void
}

export type ReadAheadOptions = {
  /** Limit of one body. */
  bodyBytesMax: number
  /** Limit of all bodies together. */
  totalBytesMax: number
}

export const createReadAhead = ({ bodyBytesMax, totalBytesMax }: ReadAheadOptions): ReadAhead => {
  let takenBytes = 0
  return {
    tryTake: (heldBytes, sizeBytes) => {
      if (heldBytes + sizeBytes > bodyBytesMax || takenBytes + sizeBytes > totalBytesMax) return false
      takenBytes += sizeBytes
      return true
    },
    release: sizeBytes => { takenBytes -= sizeBytes }
  }
}
