/**
 * Hash of the first bytes of a body, independent of the pieces in which the body
 * arrives. It identifies a body; it does not protect one.
 */
import { createHash } from 'node:crypto'

const ALGORITHM = 'sha256'
/** Number of hexadecimal digits of a hash, 64 bits. */
export const HASH_DIGITS = 16

export type BodyHash = {
  add: (chunk: Uint8Array) => void
  /** Undefined while the body has not ended and is shorter than what is hashed. */
  value: (isEnded: boolean) => string | undefined
}

export const hashBytes = (bytes: Uint8Array | string): string => createHash(ALGORITHM).update(bytes).digest('hex').slice(0, HASH_DIGITS)

/** @param bytesMax number of bytes that are hashed; later ones are ignored */
export const createBodyHash = (bytesMax: number): BodyHash => {
  const hash = createHash(ALGORITHM)
  let hashedBytes = 0
  let digest: string | undefined
  return {
    add: chunk => {
      if (hashedBytes >= bytesMax) return
      const part = chunk.subarray(0, bytesMax - hashedBytes)
      hash.update(part)
      hashedBytes += part.length
    },
    value: isEnded => {
      if (!isEnded && hashedBytes < bytesMax) return undefined
      return (digest ??= hash.digest('hex').slice(0, HASH_DIGITS))
    }
  }
}
