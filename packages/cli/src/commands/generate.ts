/**
 * `wisteriavalve generate`: writes the configuration and prints the order in
 * which the keys are to be published.
 */
import type { Command } from 'commander'
import { parse } from 'yaml'
import { isAnswers } from '@wisteriavalve/schema'
import { generateConfiguration, type ConfigurationValue } from '@wisteriavalve/questionnaire'
import { countOf, printJson, printLines } from '../output.js'
import { readText } from '../read-answers.js'
import type { CommandModule, Io, Outcome } from '../types.js'
import { writeConfiguration } from '../write-configuration.js'

type Options = { out: string, json?: boolean }

const describeFiles = (values: readonly ConfigurationValue[], files: readonly string[]): string[] => [
  `wrote ${countOf(files.length, 'file')}, ${values.reduce((sum, { bytes }) => sum + bytes.length, 0)} bytes`,
  'publish the keys in this order, the head last:',
  ...values.map(({ key }, index) => `  ${key} < ${files[index]}`)
]

const run = async (path: string, options: Options, io: Io): Promise<Outcome> => {
  const text = await readText(path)
  if (!text.ok) return { failure: text.error }
  const answers: unknown = parse(text.value)
  if (!isAnswers(answers)) return { failure: { result: 'answers-invalid', message: JSON.stringify(isAnswers.errors) } }
  const values = generateConfiguration(answers)
  const written = await writeConfiguration(values, answers.fleet, options.out)
  if (!written.ok) return { failure: written.error }
  if (options.json) printJson(io, { publish: values.map(({ key, bytes }, index) => ({ key, file: written.value[index], sizeBytes: bytes.length })) })
  else printLines(io, describeFiles(values, written.value))
  return { exit: 'ok' }
}

export const generateCommand: CommandModule = {
  name: 'generate',
  register: (program: Command, io, finish) => {
    program.command('generate')
      .description('Write the configuration values of an answers file, one file for each key.')
      .argument('<answers>', 'answers file (YAML)')
      .requiredOption('--out <folder>', 'folder for the files')
      .option('--json', 'print JSON')
      .action(async (path: string, options: Options) => finish(await run(path, options, io), options))
  }
}
