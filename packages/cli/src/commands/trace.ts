/**
 * `wisteriavalve trace`: traces one request through log files.
 */
import { createReadStream } from 'node:fs'
import type { Readable } from 'node:stream'
import { createInterface } from 'node:readline'
import { printJson, printLines } from '../output.js'
import { describeSystemError } from '../system-error.js'
import { TERMINAL_COLUMNS, wrapText } from '../text.js'
import { parseLogLine, type LogLine } from '../trace/log-line.js'
import { traceRequest, type RequestTrace } from '../trace/request-trace.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = { request: string, json?: boolean }

const STANDARD_INPUT = '-'
const HIDDEN_FIELDS = new Set(['level', 'time', 'event', 'node', 'request_id'])

const readLines = async (stream: Readable): Promise<LogLine[]> => {
  const lines: LogLine[] = []
  for await (const text of createInterface({ input: stream })) {
    const line = parseLogLine(text)
    if (line) lines.push(line)
  }
  return lines
}

const describeLine = ({ wallMs, node, event, fields }: LogLine): string[] => {
  const rest = Object.entries(fields).filter(([key]) => !HIDDEN_FIELDS.has(key)).map(([key, value]) => `${key}=${value}`)
  return wrapText(`  ${new Date(wallMs).toISOString()} ${node} ${event}: ${rest.join(', ')}`, TERMINAL_COLUMNS, '      ')
}

const describe = ({ requestId, own, context, cause, missing }: RequestTrace): string[] => [
  `request ${requestId}`,
  ...own.flatMap(describeLine),
  ...(context.length > 0 ? ['earlier events of the node', ...context.flatMap(describeLine)] : []),
  ...wrapText(`cause: ${cause}`, TERMINAL_COLUMNS, '  '),
  ...missing.flatMap(text => wrapText(`missing: ${text}`, TERMINAL_COLUMNS, '  '))
]

const run = async (paths: readonly string[], options: Options, io: Io): Promise<Outcome> => {
  const lines: LogLine[] = []
  for (const path of paths) {
    try {
      for (const line of await readLines(path === STANDARD_INPUT ? io.stdin : createReadStream(path))) lines.push(line)
    } catch (error) {
      return { failure: { result: 'usage', message: `${path}: ${describeSystemError(error)}` } }
    }
  }
  const path = traceRequest(lines, options.request)
  if (options.json) printJson(io, path)
  else printLines(io, describe(path))
  return { exit: 'ok' }
}

export const traceCommand: CommandModule = {
  name: 'trace',
  register: (program, io, finish) => {
    program.command('trace')
      .summary('follow one request through the logs')
      .description(`Reads the logs of one or more daemons, prints the lines about a request in
chronological order with the latest earlier events of its node, and states the
cause of its outcome in one sentence. No running daemon is needed.`)
      .argument('<logs...>', 'log files; - for standard input')
      .requiredOption('--request <id>', 'id of the request')
      .option('--json', 'print JSON')
      .action(async (paths: string[], options: Options) => finish(await run(paths, options, io), options))
  }
}
