/**
 * Verifiable response bodies. Each body starts with the id of its request and
 * is padded with repetitions of that id. A header carries its checksum. With
 * both, a caller detects responses of other requests, mixed and truncated ones.
 */
import { crc32 } from 'node:zlib'

export const CHECKSUM_HEADER = 'x-body-checksum'

export const checksum = (bytes: Uint8Array, previous = 0): number => crc32(bytes, previous)

export const createResponseBody = (requestId: string, serverId: string, sizeBytes: number): Buffer => {
  const firstLine = `${requestId} ${serverId}\n`
  const padding = `${requestId}.`.repeat(Math.ceil(Math.max(0, sizeBytes - firstLine.length) / (requestId.length + 1)))
  return Buffer.from(firstLine + padding)
}

/** foreign: the body belongs to another request; broken: bytes are missing or changed. */
export type BodyVerdict = 'own' | 'foreign' | 'broken'

export const verifyResponseBody = (requestId: string, announcedChecksum: string | undefined, body: Uint8Array): BodyVerdict => {
  const text = Buffer.from(body).toString()
  const bodyRequestId = text.slice(0, Math.max(0, text.indexOf(' ')))
  if (bodyRequestId !== requestId) return bodyRequestId === '' ? 'broken' : 'foreign'
  return announcedChecksum === String(checksum(body)) ? 'own' : 'broken'
}
