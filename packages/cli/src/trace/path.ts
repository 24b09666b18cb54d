/**
 * The path of one request through the logs: its own lines, what the node that
 * had it knew at that time, and the cause of its end.
 */
import type { LogLine } from './log-line.js'

export type RequestPath = {
  requestId: string
  /** Lines about the request, in the order of time. */
  own: LogLine[]
  /** The last line of each kind about the node, its configuration, the store and the targets, from before the end of the request. */
  context: LogLine[]
  cause: string
  /** What the logs do not hold. */
  missing: string[]
}

/** Lines about a node as a whole; the last one before the request counts. */
const NODE_EVENTS = new Set(['daemon_started', 'configuration_adopted', 'store_reachable', 'store_unreachable', 'process_paused', 'lines_left_out', 'daemon_leaving'])
/** Lines about one target. */
const TARGET_EVENTS = new Set(['target_state', 'target_listed', 'target_unlisted', 'connections_retired'])

const byTime = (a: LogLine, b: LogLine): number => a.wallMs - b.wallMs

const contextOf = (lines: readonly LogLine[], own: readonly LogLine[]): LogLine[] => {
  const nodes = new Set(own.map(({ node }) => node))
  const targets = new Set(own.flatMap(({ fields }) => fields.target ? [fields.target] : []))
  const endMs = own.at(-1)?.wallMs ?? -Infinity
  const last = new Map<string, LogLine>()
  for (const line of lines) {
    if (!nodes.has(line.node) || line.wallMs > endMs) continue
    const key = NODE_EVENTS.has(line.event)
      ? `${line.node} ${line.event}`
      : TARGET_EVENTS.has(line.event) && targets.has(line.fields.target ?? '') ? `${line.node} ${line.event} ${line.fields.target}` : undefined
    const known = key === undefined ? undefined : last.get(key)
    if (key !== undefined && (!known || known.wallMs <= line.wallMs)) last.set(key, line)
  }
  return [...last.values()].sort(byTime)
}

/** Highest configuration that any node had in force when the request arrived. */
const newestConfiguration = (lines: readonly LogLine[], untilMs: number): number =>
  lines.reduce((newest, { event, wallMs, fields }) =>
    event === 'configuration_adopted' && wallMs <= untilMs ? Math.max(newest, Number(fields.revision)) : newest, 0)

/** Messages are sentences; inside another one they end without a full stop. */
const messageOf = ({ fields }: LogLine): string => (fields.message ?? '').replace(/\.$/, '')

const describeRefusal = (line: LogLine): string => {
  const { fields } = line
  const back = fields.retry_after_ms === undefined ? '' : `; it was told to come back after ${fields.retry_after_ms} ms`
  return `It was refused after ${fields.duration_ms ?? 0} ms and did not run (${fields.result_code}): ${messageOf(line)}${back}.`
}

const describeBreak = (line: LogLine, context: readonly LogLine[]): string => {
  const { fields } = line
  const state = context.findLast(({ event, fields: each }) => event === 'target_state' && each.target === fields.target)
  const known = state ? `; the node last saw the target as ${state.fields.state} (${state.fields.reason})` : ''
  return `It may have run on ${fields.target || 'a target'} and ended after ${fields.duration_ms} ms without its answer (${fields.result_code}): ${messageOf(line)}${known}.`
}

const describeAnswer = ({ fields, wallMs }: LogLine, lines: readonly LogLine[]): string => {
  const durationMs = Number(fields.duration_ms)
  const waitedMs = Number(fields.sent_after_ms)
  const newest = newestConfiguration(lines, wallMs - durationMs)
  const configuration = Number(fields.configuration)
  if (newest > configuration) return `It was answered under configuration ${configuration} while another node already had ${newest} in force.`
  if (durationMs <= Number(fields.objective_ms)) return `It was answered with ${fields.status} within its objective of ${fields.objective_ms} ms.`
  const share = waitedMs > durationMs / 2 ? `it waited ${waitedMs} ms for a target` : `${fields.target} worked on it for ${durationMs - waitedMs} ms`
  return `It was answered with ${fields.status} after ${durationMs} ms, later than its objective of ${fields.objective_ms} ms: ${share} (${fields.reason}).`
}

const causeOf = (own: readonly LogLine[], context: readonly LogLine[], lines: readonly LogLine[]): string => {
  const end = own.findLast(({ event }) => event === 'request_failed' || event === 'request_answered')
  if (!end) return own.length === 0 ? 'No line tells of this request.' : 'The logs do not tell how it ended.'
  if (end.event === 'request_answered') return describeAnswer(end, lines)
  return end.fields.result_class === 'not-run' ? describeRefusal(end) : describeBreak(end, context)
}

const missingOf = (own: readonly LogLine[], context: readonly LogLine[]): string[] => {
  const missing: string[] = []
  if (own.length === 0) missing.push('requests that were answered in time are told as a sample only')
  if (own.length > 0 && !context.some(({ event }) => event === 'daemon_started')) missing.push('the start of the node that had the request')
  if (own.length > 0 && !context.some(({ event }) => event === 'configuration_adopted')) missing.push('the configuration that was in force')
  if (context.some(({ event }) => event === 'lines_left_out')) missing.push('lines that were left out under load')
  return missing
}

export const tracePath = (lines: readonly LogLine[], requestId: string): RequestPath => {
  const own = lines.filter(({ fields }) => fields.request_id === requestId).sort(byTime)
  const context = contextOf(lines, own)
  return { requestId, own, context, cause: causeOf(own, context, lines), missing: missingOf(own, context) }
}
