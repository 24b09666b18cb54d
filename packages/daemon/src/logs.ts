/**
 * Logging: pino filters by level and serializes, and a destination converts
 * each line to key=value pairs.
 */
import logfmt from 'logfmt'
import { pino, type DestinationStream } from 'pino'
import { LOG_EVENTS, type LogEventName } from '@wisteriavalve/schema'
import type { Log } from './types.js'

const levels = new Map<LogEventName, (typeof LOG_EVENTS)[number]['level']>(LOG_EVENTS.map(row => [row.event, row.level]))

/** @param writeLine receives one line without its line break */
export const createLogfmtDestination = (writeLine: (line: string) => void): DestinationStream => ({
  write: json => writeLine(logfmt.stringify(JSON.parse(json) as object))
})

/** @param node id of this node, added to each line */
export const createLog = (level: string, writeLine: (line: string) => void, node?: string): Log => {
  const logger = pino({
    level,
    base: node === undefined ? null : { node },
    timestamp: () => `,"time":"${new Date().toISOString()}"`,
    formatters: { level: label => ({ level: label }) }
  }, createLogfmtDestination(writeLine))
  return (event, fields) => logger[levels.get(event) ?? 'info']({ event, ...fields })
}
