/**
 * `wisteriavalve generate`: writes the configuration and prints its keys in the
 * order of publication.
 */
import { generateConfiguration, type ConfigurationValue } from '@wisteriavalve/questionnaire'
import { formatCount, printJson, printLines, printStderrLines } from '../output.js'
import { describeFinding, findingsDocument, readValidAnswers } from '../read-answers.js'
import type { CommandModule, Io, Outcome } from '../types.js'
import { writeConfiguration } from '../write-configuration.js'

type Options = { out: string, json?: boolean }

const describeFiles = (values: readonly ConfigurationValue[], outDir: string): string[] => [
  `wrote ${formatCount(values.length, 'file')} of ${values.reduce((sum, { bytes }) => sum + bytes.length, 0)} bytes to ${outDir}`,
  'Publish the keys in this order, the head last. The value of each key is the',
  'file of the same name in that folder.',
  ...values.map(({ key }) => key)
]

const run = async (path: string, options: Options, io: Io): Promise<Outcome> => {
  const read = await readValidAnswers(path)
  if (!read.ok) {
    printStderrLines(io, read.error.lines)
    return read.error
  }
  const { answers, findings } = read.value
  const values = generateConfiguration(answers)
  const written = await writeConfiguration(values, answers.fleet, options.out)
  if (!written.ok) return { failure: written.error }
  if (!options.json) printStderrLines(io, findings.flatMap(finding => describeFinding(path, finding)))
  if (options.json) {
    const publish = values.map(({ key, bytes }, index) => ({ key, file: written.value[index], sizeBytes: bytes.length }))
    printJson(io, { fleet: answers.fleet, publish, warnings: findingsDocument(findings).warnings })
  } else {
    printLines(io, describeFiles(values, options.out))
  }
  return { exit: 'ok' }
}

export const generateCommand: CommandModule = {
  name: 'generate',
  register: (program, io, finish) => {
    program.command('generate')
      .summary('write the configuration of an answers file')
      .description(`Writes the configuration of an answers file, one file for each key of the
configuration service, and prints the order in which to publish them. Answers
with faults are refused and nothing is written. The files of the same fleet
in the folder are replaced.`)
      .argument('<answers>', 'answers file (YAML)')
      .requiredOption('--out <folder>', 'folder for the files')
      .option('--json', 'print JSON')
      .action(async (path: string, options: Options) => finish(await run(path, options, io), options))
  }
}
