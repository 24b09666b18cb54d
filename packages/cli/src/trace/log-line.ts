/**
 * Parses the log lines of daemons: key=value pairs, optionally preceded by a
 * prefix that a log collector added.
 */
import logfmt from 'logfmt'

export type LogLine = {
  /** Wall clock of the node that wrote the line. */
  wallMs: number
  event: string
  /** Node that wrote the line; empty when the line has no node field. */
  node: string
  fields: Record<string, string>
}

const DAEMON_LINE_START = /(?:^|\s)(level=\w+ time=)/

/** @returns undefined for a line that is not a log line of a daemon */
export const parseLogLine = (text: string): LogLine | undefined => {
  const match = DAEMON_LINE_START.exec(text)
  if (!match) return undefined
  const parsed = logfmt.parse(text.slice(match.index).trim()) as Record<string, unknown>
  const fields = Object.fromEntries(Object.entries(parsed).map(([key, value]) => [key, String(value)]))
  const wallMs = Date.parse(fields.time ?? '')
  if (Number.isNaN(wallMs) || fields.event === undefined) return undefined
  return { wallMs, event: fields.event, node: fields.node ?? '', fields }
}
