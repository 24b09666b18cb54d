/**
 * Authentication of calls between nodes. Each request carries an HMAC-SHA256
 * over method, path, body and a nonce. Each response carries one over the
 * nonce, the status and the body. The key is derived from the fleet key.
 *
 * A bearer token derived from the fleet key would be simpler. But anyone who
 * reads one request could then make any call, and responses would be
 * unprotected although they determine the order of a configuration.
 *
 * The HMAC does not cover a timestamp. All procedures are read-only, so a
 * replayed request reveals nothing that was not sent before, whereas a node
 * with a wrong clock could not get its configuration.
 */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

export const REQUEST_NONCE_HEADER = 'x-fleet-nonce'
export const AUTHENTICATION_HEADER = 'x-fleet-auth'

export type SignedRequest = { method: string, path: string, body: string | Uint8Array, nonce: string }

export type PeerAuth = {
  newNonce: () => string
  signRequest: (request: SignedRequest) => string
  signResponse: (nonce: string, status: number, body: string | Uint8Array) => string
}

const sha256Hex = (body: string | Uint8Array): string => createHash('sha256').update(body).digest('hex')

export const createPeerAuth = (fleet: string, fleetKey: string): PeerAuth => {
  const key = createHmac('sha256', fleetKey).update(`peer\n${fleet}`).digest()
  const sign = (...parts: string[]): string => createHmac('sha256', key).update(parts.join('\n')).digest('hex')
  return {
    newNonce: () => randomBytes(16).toString('hex'),
    signRequest: ({ method, path, body, nonce }) => sign('request', method, path, nonce, sha256Hex(body)),
    signResponse: (nonce, status, body) => sign('response', nonce, String(status), sha256Hex(body))
  }
}

export const isSameMac = (expected: string, received: unknown): boolean => {
  if (typeof received !== 'string') return false
  const [a, b] = [Buffer.from(expected), Buffer.from(received)]
  return a.length === b.length && timingSafeEqual(a, b)
}
