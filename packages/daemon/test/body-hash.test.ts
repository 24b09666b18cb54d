/**
 * Guards against a body that has another identity when it arrives in other
 * pieces, and against one whose identity is taken before it is complete.
 */
import test from 'ava'
import { createBodyHash, hashBytes } from '../src/body-hash.js'

const BYTES_MAX = 100_000
const hashPieces = (body: Buffer, pieceBytes: number): string | undefined => {
  const hash = createBodyHash(BYTES_MAX)
  for (let start = 0; start < body.length; start += pieceBytes) hash.add(body.subarray(start, start + pieceBytes))
  return hash.value(true)
}

test('a body has one hash whatever its pieces, and another body has another', t => {
  const body = Buffer.alloc(60_000, 'a')
  t.deepEqual(new Set([1, 7, 4_096, 60_000].map(size => hashPieces(body, size))), new Set([hashBytes(body)]))
  body[59_999] = 0
  t.not(hashPieces(body, 4_096), hashBytes(Buffer.alloc(60_000, 'a')))
})

test('only the first bytes of a large body count, as soon as they have arrived', t => {
  const body = Buffer.alloc(360_000, 'a')
  const hash = createBodyHash(BYTES_MAX)
  hash.add(body.subarray(0, BYTES_MAX - 1))
  t.is(hash.value(false), undefined)
  hash.add(body.subarray(BYTES_MAX - 1))
  t.is(hash.value(false), hashBytes(body.subarray(0, BYTES_MAX)))
})
