/**
 * How much of a request's body each attempt passed on. A target that did not get
 * all of it may still have answered, so this is recorded for answered requests too.
 */
import type { Exchange } from './exchange.js'

export type BodySend = { targetId: string, sentBytes: number }

/** The number of sends is bounded by that of attempts; this bounds the line for one that is repeated by mistake. */
const DESCRIBED_SENDS_MAX = 8

/** Number of attempts that ended before all bytes of the body were passed on. */
export const countShortSends = ({ body, bodySends }: Pick<Exchange, 'body' | 'bodySends'>): number =>
  bodySends.filter(({ sentBytes }) => !body.isComplete() || sentBytes < body.receivedBytes()).length

/** Fields for the lines of a request; none if it has no body. */
export const bodyFields = ({ body, bodySends }: Pick<Exchange, 'body' | 'bodySends'>): Record<string, string | number | boolean> => {
  if (!body.isPresent) return {}
  const sends = bodySends.slice(0, DESCRIBED_SENDS_MAX).map(({ targetId, sentBytes }) => `${targetId}:${sentBytes}`)
  return { body_bytes: body.receivedBytes(), body_ended: body.isComplete(), body_sent: sends.join(',') }
}
