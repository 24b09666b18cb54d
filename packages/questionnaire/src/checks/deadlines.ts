/**
 * Finds deadlines, body limits and idempotency settings that contradict each other.
 */
import { REPLAY_BODY_BYTES_MAX } from '../constants.js'
import type { ReportFinding, CrossCheck, KindView } from './types.js'

/** Opening a connection and crossing two zones take a few ms, before the backend server has started to work. */
const DEADLINE_MS_MIN = 10
/** Callers and intermediate systems time out after about a minute. */
const DEADLINE_MS_MAX = 60_000
/** A non-idempotent request that times out ends as outcome-unknown. Its deadline should therefore exceed short delays. */
const NON_IDEMPOTENT_DEADLINE_MS_MIN = 500
/** Packet loss on a slow connection can pause a transfer for a second or more. */
const PROGRESS_MS_MIN = 2000
/** Callers on typical connections cannot send a body faster than about 10 Mbit/s. */
const UPLOAD_BYTES_PER_MS_MAX = 1250

const SAFE_METHODS = ['GET', 'HEAD', 'OPTIONS']

const checkDeadline = ({ path, deadlineMs, boundedBy, idempotent, bodyBytesMax }: KindView, report: ReportFinding): void => {
  if (deadlineMs === undefined) return
  const answerPath = [...path, 'deadlineMs']
  if (boundedBy === 'progress') {
    if (deadlineMs < PROGRESS_MS_MIN) report('warning', answerPath, `a transfer on a slow connection can pause for longer than ${deadlineMs} ms and would be aborted`)
    return
  }
  if (deadlineMs < DEADLINE_MS_MIN) {
    return report('fault', answerPath, `a response cannot arrive within ${deadlineMs} ms; at least ${DEADLINE_MS_MIN} ms are needed`)
  }
  if (idempotent === false && deadlineMs < NON_IDEMPOTENT_DEADLINE_MS_MIN) {
    report('warning', answerPath, `a request that is not idempotent and takes longer than ${deadlineMs} ms ends as outcome-unknown; give it more time`)
  }
  if (deadlineMs > DEADLINE_MS_MAX) report('warning', answerPath, `${deadlineMs} ms is longer than callers wait; bound long transfers by progress`)
  if (bodyBytesMax !== undefined && bodyBytesMax / deadlineMs > UPLOAD_BYTES_PER_MS_MAX) {
    report('warning', answerPath, `a body of ${bodyBytesMax} bytes cannot be sent in ${deadlineMs} ms on a typical connection; bound the kind by progress`)
  }
}

const checkIdempotency = ({ path, idempotent, methods, bodyBytesMax }: KindView, report: ReportFinding): void => {
  if (idempotent === false && methods?.some(method => SAFE_METHODS.includes(method))) {
    report('warning', [...path, 'idempotent'], `${methods.join(', ')} requests that are not idempotent are never retried or hedged`)
  }
  if (idempotent === true && bodyBytesMax !== undefined && bodyBytesMax > REPLAY_BODY_BYTES_MAX) {
    report('warning', [...path, 'bodyBytesMax'], `bodies above ${REPLAY_BODY_BYTES_MAX} bytes are not buffered for a retry, although the kind is idempotent`)
  }
}

export const checkDeadlines: CrossCheck = ({ services }, report) => {
  for (const kind of services.flatMap(({ kinds }) => kinds)) {
    checkDeadline(kind, report)
    checkIdempotency(kind, report)
  }
}
