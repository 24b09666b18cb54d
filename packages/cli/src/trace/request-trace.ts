/**
 * Trace of one request in the logs: its own lines, the latest earlier events
 * of the node that handled it, and the cause of its outcome.
 */
import type { LogLine } from './log-line.js'

export type RequestTrace = {
  requestId: string
  /** Lines about the request, in chronological order. */
  own: LogLine[]
  /**
   * Latest line of each event about the node, its configuration, the store and the
   * request's targets, up to the end of the request, and the crashes of targets
   * for which it was refused.
   */
  context: LogLine[]
  cause: string
  /** Information that the logs do not contain. */
  missing: string[]
}

/** Events about a node as a whole; the latest of each before the end of the request is shown. */
const NODE_EVENTS = new Set(['daemon_started', 'configuration_adopted', 'store_reachable', 'store_unreachable', 'store_restored', 'process_paused', 'lines_left_out', 'daemon_leaving'])
/** Events about one target. */
const TARGET_EVENTS = new Set(['target_state', 'target_listed', 'target_unlisted', 'connections_retired'])

const byTime = (a: LogLine, b: LogLine): number => a.wallMs - b.wallMs

const findContext = (lines: readonly LogLine[], own: readonly LogLine[]): LogLine[] => {
  const nodes = new Set(own.map(({ node }) => node))
  const targets = new Set(own.flatMap(({ fields }) => fields.target ? [fields.target] : []))
  const endMs = own.at(-1)?.wallMs ?? -Infinity
  const latestByKey = new Map<string, LogLine>()
  for (const line of lines) {
    if (!nodes.has(line.node) || line.wallMs > endMs) continue
    const key = NODE_EVENTS.has(line.event)
      ? `${line.node} ${line.event}`
      : TARGET_EVENTS.has(line.event) && targets.has(line.fields.target ?? '') ? `${line.node} ${line.event} ${line.fields.target}` : undefined
    const latest = key === undefined ? undefined : latestByKey.get(key)
    if (key !== undefined && (!latest || latest.wallMs <= line.wallMs)) latestByKey.set(key, line)
  }
  return [...latestByKey.values(), ...findCrashes(lines, own)].sort(byTime)
}

/** The message of a request that crashes its targets names its identity, which is the same each time it comes. */
const IDENTITY = /identity ([0-9a-f]{32})/

/** Lines of all nodes about targets that ended under the request before it was refused. */
const findCrashes = (lines: readonly LogLine[], own: readonly LogLine[]): LogLine[] => {
  const end = own.at(-1)
  const identity = IDENTITY.exec(end?.fields.message ?? '')?.[1]
  if (!end || identity === undefined) return []
  return lines.filter(({ event, fields, wallMs }) => event === 'request_suspect' && fields.identity === identity && wallMs <= end.wallMs)
}

/** Highest configuration revision that any node had in force when the request arrived. */
const newestRevision = (lines: readonly LogLine[], untilMs: number): number =>
  lines.reduce((newestSoFar, { event, wallMs, fields }) =>
    event === 'configuration_adopted' && wallMs <= untilMs ? Math.max(newestSoFar, Number(fields.revision)) : newestSoFar, 0)

/** Removes the full stop of a message that is embedded in another sentence. */
const messageOf = ({ fields }: LogLine): string => (fields.message ?? '').replace(/\.$/, '')

const describeRefusal = (line: LogLine, context: readonly LogLine[]): string => {
  const { fields } = line
  const crashed = new Set(context.flatMap(({ event, fields: each }) => event === 'request_suspect' ? [each.target] : []))
  const crashHint = crashed.size === 0 ? '' : `; it was running when ${[...crashed].join(', ')} ended`
  const retryHint = fields.retry_after_ms === undefined ? '' : `; it was told to come back after ${fields.retry_after_ms} ms`
  return `It was refused after ${fields.duration_ms ?? 0} ms and did not run (${fields.result_code}): ${messageOf(line)}${crashHint}${retryHint}.`
}

const describeUnknownOutcome = (line: LogLine, context: readonly LogLine[]): string => {
  const { fields } = line
  const state = context.findLast(({ event, fields: each }) => event === 'target_state' && each.target === fields.target)
  const lastState = state ? `; the node last saw the target as ${state.fields.state} (${state.fields.reason})` : ''
  return `It may have run on ${fields.target || 'a target'} and ended after ${fields.duration_ms} ms without its answer (${fields.result_code}): ${messageOf(line)}${lastState}.`
}

const describeAnswer = ({ fields, wallMs }: LogLine, lines: readonly LogLine[]): string => {
  const durationMs = Number(fields.duration_ms)
  const waitedMs = Number(fields.sent_after_ms)
  const latestRevision = newestRevision(lines, wallMs - durationMs)
  const configuration = Number(fields.configuration)
  if (latestRevision > configuration) return `It was answered under configuration ${configuration} while another node already had ${latestRevision} in force.`
  if (durationMs <= Number(fields.objective_ms)) return `It was answered with ${fields.status} within its objective of ${fields.objective_ms} ms.`
  const mainDelay = waitedMs > durationMs / 2 ? `it waited ${waitedMs} ms for a target` : `${fields.target} worked on it for ${durationMs - waitedMs} ms`
  return `It was answered with ${fields.status} after ${durationMs} ms, later than its objective of ${fields.objective_ms} ms: ${mainDelay} (${fields.reason}).`
}

const describeCause = (own: readonly LogLine[], context: readonly LogLine[], lines: readonly LogLine[]): string => {
  const end = own.findLast(({ event }) => event === 'request_failed' || event === 'request_answered')
  if (!end) return own.length === 0 ? 'The logs have no line about this request.' : 'The logs do not show how it ended.'
  if (end.event === 'request_answered') return describeAnswer(end, lines)
  return end.fields.result_class === 'not-run' ? describeRefusal(end, context) : describeUnknownOutcome(end, context)
}

const findMissing = (own: readonly LogLine[], context: readonly LogLine[]): string[] => {
  const missing: string[] = []
  if (own.length === 0) missing.push('only a sample of the requests that were answered in time is logged')
  if (own.length > 0 && !context.some(({ event }) => event === 'daemon_started')) missing.push('the start of the node that had the request')
  if (own.length > 0 && !context.some(({ event }) => event === 'configuration_adopted')) missing.push('the configuration that was in force')
  if (context.some(({ event }) => event === 'lines_left_out')) missing.push('lines that were left out under load')
  return missing
}

export const traceRequest = (lines: readonly LogLine[], requestId: string): RequestTrace => {
  const own = lines.filter(({ fields }) => fields.request_id === requestId).sort(byTime)
  const context = findContext(lines, own)
  return { requestId, own, context, cause: describeCause(own, context, lines), missing: findMissing(own, context) }
}
