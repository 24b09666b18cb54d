/**
 * `wisteriavalve check`: checks an answers file and explains its faults.
 */
import { checkAnswers } from '@wisteriavalve/questionnaire'
import { printJson, printLines } from '../output.js'
import { formatFindingCounts, describeFinding, toToolFailure, findingsDocument, readText } from '../read-answers.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = { json?: boolean }

const run = async (path: string, options: Options, io: Io): Promise<Outcome> => {
  const text = await readText(path)
  if (!text.ok) return { failure: text.error }
  const checked = checkAnswers(text.value)
  if (!options.json) printLines(io, checked.findings.flatMap(finding => describeFinding(path, finding)))
  if (checked.state !== 'valid') return { failure: toToolFailure(path, checked) }
  if (options.json) printJson(io, findingsDocument(checked.findings))
  else printLines(io, [`${path}: ${formatFindingCounts(checked.findings)}`])
  return { exit: 'ok' }
}

export const checkCommand: CommandModule = {
  name: 'check',
  register: (program, io, finish) => {
    program.command('check')
      .summary('check an answers file and explain its faults')
      .description(`Checks an answers file and shows all its faults, each with its line and column,
its path, a description and the question that it belongs to. Warnings are shown
as well and do not fail the check.`)
      .argument('<answers>', 'answers file (YAML)')
      .option('--json', 'print JSON')
      .action(async (path: string, options: Options) => finish(await run(path, options, io), options))
  }
}
