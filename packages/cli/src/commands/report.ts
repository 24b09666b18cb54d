/**
 * `wisteriavalve report`: service levels, error budgets and incidents.
 */
import { readFile } from 'node:fs/promises'
import { isNodeReport, type NodeReport } from '@wisteriavalve/schema'
import type { Result } from '@wisteriavalve/common'
import { addAdminOptions, gatherWithOptions, type AdminOptions } from '../admin/options.js'
import { printJson, printLines, printStderrLines } from '../output.js'
import { buildReport, collectRuns } from '../report/build.js'
import { formatHistory, mergeHistory, parseHistory } from '../report/history.js'
import { renderReportHtml } from '../report/report-html.js'
import { describeReport } from '../report/report-text.js'
import type { NodeRun, ServiceLevelReport } from '../report/types.js'
import { describeSystemError } from '../system-error.js'
import type { CommandModule, Io, Outcome, ToolFailure } from '../types.js'
import { writeFileAtomically } from '../write-file.js'

type Options = AdminOptions & { service?: string, html?: string, history?: string, force?: boolean }

/** A missing file is an empty history; a file in another format is an error and stays unchanged. */
const readHistory = async (path: string): Promise<Result<NodeRun[], ToolFailure>> => {
  try {
    const history = parseHistory(await readFile(path, 'utf8'))
    if (history) return { ok: true, value: history.runs }
    return { ok: false, error: { result: 'output-failed', message: `${path} is not a history file that this version of the tool can read; choose another file` } }
  } catch (error) {
    if ((error as { code?: string }).code === 'ENOENT') return { ok: true, value: [] }
    return { ok: false, error: { result: 'output-failed', message: `cannot read ${path}: ${describeSystemError(error)}` } }
  }
}

const selectService = (runs: NodeRun[], name: string | undefined): NodeRun[] => name === undefined
  ? runs
  : runs.map(run => ({ ...run, buckets: run.buckets.filter(({ service }) => service === name) }))

type Collected = { runs: NodeRun[], report: ServiceLevelReport }

const collect = async (options: Options, io: Io): Promise<Result<Collected, ToolFailure>> => {
  const history = options.history === undefined ? { ok: true as const, value: [] } : await readHistory(options.history)
  if (!history.ok) return history
  const data = await gatherWithOptions<NodeReport>(options, io, (client, signal) => client.fleetReport.query(undefined, { signal }), isNodeReport)
  if (!data.ok) return data
  const nowMs = io.nowWallMs()
  const present = collectRuns(data.value.nodes, nowMs)
  const runs = mergeHistory(history.value, present.runs, nowMs)
  return { ok: true, value: { runs, report: buildReport(selectService(runs, options.service), data.value, present.problems, nowMs) } }
}

const writeFiles = async (options: Options, { runs, report }: Collected): Promise<ToolFailure | undefined> => {
  const written = [
    options.history === undefined ? undefined : await writeFileAtomically(options.history, formatHistory(runs), true),
    options.html === undefined ? undefined : await writeFileAtomically(options.html, renderReportHtml(report), options.force ?? false)
  ]
  return written.flatMap(result => result && !result.ok ? [result.error] : [])[0]
}

const run = async (options: Options, io: Io): Promise<Outcome> => {
  const collected = await collect(options, io)
  if (!collected.ok) return { failure: collected.error }
  const { report } = collected.value
  const failure = await writeFiles(options, collected.value)
  if (failure) return { failure }
  if (options.json) printJson(io, report)
  else printLines(io, describeReport(report))
  if (options.html !== undefined) printStderrLines(io, [`wrote ${options.html}`])
  return { exit: report.isComplete ? 'ok' : 'incomplete' }
}

export const reportCommand: CommandModule = {
  name: 'report',
  register: (program, io, finish) => {
    addAdminOptions(program.command('report')
      .summary('show service levels and error budgets')
      .description(`Shows for each service and kind the share of requests in time, the burn rate
over short and long windows, the remaining error budget and what used it up, and
for each incident whether the fleet recovered by itself. Daemons keep one hour
of data: with --history, each run adds its data to a file, which provides the
data of longer windows.`)
      .option('--service <name>', 'show only this service')
      .option('--html <file>', 'also write an HTML page with plots')
      .option('--force', 'replace the HTML page if it exists')
      .option('--history <file>', 'file that accumulates the data of all reports'))
      .action(async (options: Options) => finish(await run(options, io), options))
  }
}
