/**
 * Decides whether a response belongs to the request that was sent on its
 * connection, and whether the connection may carry another request.
 *
 * A backend server may send a response twice, and the second copy may arrive
 * when the connection is in use again. Only the request id that a response
 * echoes distinguishes the two. So a connection is reused only after a response
 * with the right id, and every later response on it must have one.
 */
import type { ResponseOwner, ResponseView } from './types.js'

/**
 * Requests on one connection. Their ids are remembered, since callers may send
 * an id twice, and the connection is closed after this number.
 */
export const REQUESTS_PER_CONNECTION_MAX = 1_000

/**
 * - `own`: the response echoes the id of its request.
 * - `unverified`: nothing else can have caused the response, because its
 *   connection carried no earlier request or its service is trusted with reuse.
 * - `foreign`: the response may belong to another request.
 */
export const findResponseOwner = ({ requestId, echoedId, isFirstUse, echoesIds, isReuseTrusted }: ResponseView): ResponseOwner => {
  if (echoedId === requestId) return 'own'
  if (isFirstUse && (echoedId === undefined || !echoesIds)) return 'unverified'
  return isReuseTrusted && !echoesIds ? 'unverified' : 'foreign'
}

/** Whether the connection of a complete response may carry another request. */
export const isReusableAfter = (owner: ResponseOwner, { isReuseTrusted, requestCount }: { isReuseTrusted: boolean, requestCount: number }): boolean =>
  requestCount < REQUESTS_PER_CONNECTION_MAX && (owner === 'own' || (owner === 'unverified' && isReuseTrusted))
