/**
 * Types of the choice and reuse of connections to a target.
 */

export type ConnectionView = {
  id: number
  openedMs: number
  /** Last time bytes were received, or accepted for sending. */
  lastProgressMs: number
  /** Time of the last complete response; undefined before the first one. */
  lastResponseMs?: number
  isBusy: boolean
  isRetired: boolean
  /** When the running request was sent; undefined when idle. */
  sentMs?: number
  /** Ids of the requests that the connection has carried. */
  requestIds?: ReadonlySet<string>
}

export type ConnectionRequest = {
  idempotent: boolean
  /** Id of the request; absent for a probe. */
  requestId?: string
  /** When set, the connection must have been opened or have completed a response after this time. */
  verifiedSinceMs?: number
  /** Maximum number of connections of this node to the target. */
  share: number
}

/** Properties of a response that show to which request it belongs. */
export type ResponseView = {
  /** Id that was sent with the request. */
  requestId: string
  /** Id in the response; undefined if it has none. */
  echoedId?: string
  /** Whether nothing was sent on the connection before this request. */
  isFirstUse: boolean
  /** Whether the target is known to echo request ids. */
  echoesIds: boolean
  /** Whether operators trust the targets of the service never to send a response twice. */
  isReuseTrusted: boolean
}

export type ResponseOwner = 'own' | 'unverified' | 'foreign'

export type ConnectionChoice =
  | { choice: 'reuse', id: number }
  | { choice: 'open' }
  /** The connection share is used up. When `closeFirstId` is set, that idle connection must be closed first. */
  | { choice: 'wait', closeFirstId?: number }
