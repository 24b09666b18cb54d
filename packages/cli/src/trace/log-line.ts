/**
 * Reads the log lines of daemons: key=value pairs, at times behind a prefix
 * that the collector of the logs has put there.
 */
import logfmt from 'logfmt'

export type LogLine = {
  /** Wall clock of the node that wrote the line. */
  wallMs: number
  event: string
  /** Node that wrote the line; empty when it does not say. */
  node: string
  fields: Record<string, string>
}

const START = /(?:^|\s)(level=\w+ time=)/

/** @returns undefined for a line that no daemon wrote */
export const parseLogLine = (text: string): LogLine | undefined => {
  const match = START.exec(text)
  if (!match) return undefined
  const parsed = logfmt.parse(text.slice(match.index).trim()) as Record<string, unknown>
  const fields = Object.fromEntries(Object.entries(parsed).map(([key, value]) => [key, String(value)]))
  const wallMs = Date.parse(fields.time ?? '')
  if (Number.isNaN(wallMs) || fields.event === undefined) return undefined
  return { wallMs, event: fields.event, node: fields.node ?? '', fields }
}
