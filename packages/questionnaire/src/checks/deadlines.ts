/**
 * Deadlines, body limits and idempotency that do not fit each other.
 */
import { REPLAY_BODY_BYTES_MAX } from '../constants.js'
import type { CheckReport, CrossCheck, KindView } from './types.js'

/** A connection and the way through two zones take a few ms, before the backend server has done anything. */
const DEADLINE_MS_MIN = 10
/** Callers and the systems between give up after about a minute. */
const DEADLINE_MS_MAX = 60_000
/** A non-idempotent request that times out is outcome-unknown, so its deadline should not be hit by a slow moment. */
const NON_IDEMPOTENT_DEADLINE_MS_MIN = 500
/** Packet loss on a slow line stops a transfer for a second or more. */
const PROGRESS_MS_MIN = 2000
/** Above about 10 Mbit/s, callers on ordinary lines cannot send the body before the deadline. */
const UPLOAD_BYTES_PER_MS_MAX = 1250

const READING_METHODS = ['GET', 'HEAD', 'OPTIONS']

const checkDeadline = ({ path, deadlineMs, boundedBy, idempotent, bodyBytesMax }: KindView, report: CheckReport): void => {
  if (deadlineMs === undefined) return
  const place = [...path, 'deadlineMs']
  if (boundedBy === 'progress') {
    if (deadlineMs < PROGRESS_MS_MIN) report('warning', place, `a transfer on a slow line can stand still for longer than ${deadlineMs} ms and would be cut`)
    return
  }
  if (deadlineMs < DEADLINE_MS_MIN) {
    return report('fault', place, `${deadlineMs} ms are over before an answer can be back; at least ${DEADLINE_MS_MIN} ms are needed`)
  }
  if (idempotent === false && deadlineMs < NON_IDEMPOTENT_DEADLINE_MS_MIN) {
    report('warning', place, `a request that is not idempotent and takes longer than ${deadlineMs} ms ends as outcome-unknown; give it more time`)
  }
  if (deadlineMs > DEADLINE_MS_MAX) report('warning', place, `${deadlineMs} ms are longer than callers wait; bound long transfers by progress`)
  if (bodyBytesMax !== undefined && bodyBytesMax / deadlineMs > UPLOAD_BYTES_PER_MS_MAX) {
    report('warning', place, `a body of ${bodyBytesMax} bytes cannot be sent in ${deadlineMs} ms on an ordinary line; bound the kind by progress`)
  }
}

const checkIdempotency = ({ path, idempotent, methods, bodyBytesMax }: KindView, report: CheckReport): void => {
  if (idempotent === false && methods?.some(method => READING_METHODS.includes(method))) {
    report('warning', [...path, 'idempotent'], `${methods.join(', ')} requests that are not idempotent are never retried or hedged`)
  }
  if (idempotent === true && bodyBytesMax !== undefined && bodyBytesMax > REPLAY_BODY_BYTES_MAX) {
    report('warning', [...path, 'bodyBytesMax'], `bodies above ${REPLAY_BODY_BYTES_MAX} bytes are not kept for a retry, although the kind is idempotent`)
  }
}

export const checkDeadlines: CrossCheck = ({ services }, report) => {
  for (const kind of services.flatMap(({ kinds }) => kinds)) {
    checkDeadline(kind, report)
    checkIdempotency(kind, report)
  }
}
