/**
 * Bodies of answers. Each body names the request that it answers and is
 * filled up with bytes that follow from that name; a checksum in a header
 * covers it. A caller can so tell a foreign, mixed or shortened answer.
 */
import { crc32 } from 'node:zlib'

export const CHECKSUM_HEADER = 'x-body-checksum'

export const checksum = (bytes: Uint8Array, previous = 0): number => crc32(bytes, previous)

export const createAnswerBody = (requestId: string, serverId: string, sizeBytes: number): Buffer => {
  const line = `${requestId} ${serverId}\n`
  const filling = `${requestId}.`.repeat(Math.ceil(Math.max(0, sizeBytes - line.length) / (requestId.length + 1)))
  return Buffer.from(line + filling)
}

/** foreign: the answer belongs to another request; broken: bytes are missing or changed. */
export type AnswerVerdict = 'own' | 'foreign' | 'broken'

export const verifyAnswer = (requestId: string, announced: string | undefined, body: Uint8Array): AnswerVerdict => {
  const text = Buffer.from(body).toString()
  const answeredId = text.slice(0, Math.max(0, text.indexOf(' ')))
  if (answeredId !== requestId) return answeredId === '' ? 'broken' : 'foreign'
  return announced === String(checksum(body)) ? 'own' : 'broken'
}
