/**
 * Identity of a request that comes again: the same method, host, path, caller and
 * body, whatever its id, its other headers and the framing of its body. The caller
 * is known by its credentials. Its address does not count, because the requests of
 * one caller can come from many addresses, and a target runs equal requests alike.
 */
import type { Call } from './adapters/caller-http.js'
import { HASH_DIGITS, hashBytes } from './body-hash.js'
import type { Exchange } from './exchange.js'

const CREDENTIAL_HEADERS = ['authorization', 'cookie', 'x-api-key']

/** The part of an identity that is known before the body has arrived. */
export const headIdentity = ({ req: { method, headers } }: Pick<Call, 'req'>, path: string): string =>
  hashBytes(JSON.stringify([method, headers.host, path, ...CREDENTIAL_HEADERS.map(name => headers[name])]))

/** @returns undefined while too little of the body has arrived */
export const requestIdentity = ({ head, body }: Pick<Exchange, 'head' | 'body'>): string | undefined => {
  const bodyHash = body.hash()
  return bodyHash === undefined ? undefined : head() + bodyHash
}

export const headOf = (identity: string): string => identity.slice(0, HASH_DIGITS)
