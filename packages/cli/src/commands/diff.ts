/**
 * `wisteriavalve diff`: describes what new answers change.
 */
import { diffAnswers, type AnswersDiff, type Change } from '@wisteriavalve/questionnaire'
import { formatCount, printJson, printLines, printStderrLines } from '../output.js'
import { readValidAnswers } from '../read-answers.js'
import { wrapText } from '../text.js'
import type { CommandModule, Io, Outcome } from '../types.js'

type Options = { json?: boolean }

const describeChange = ({ subject, text, effect, attention }: Change): string[] => [
  ...wrapText(`${attention ? '! ' : '  '}${subject}: ${text}`, 80, '    '),
  ...wrapText(`    ${effect}`, 80, '    ')
]

const describeDiff = ({ changes, newValueCount, unchangedValueCount }: AnswersDiff): string[] => {
  if (changes.length === 0) return ['The answers are equivalent; nothing needs to be published.']
  const attention = changes.filter(change => change.attention).length
  return [
    ...changes.flatMap(describeChange),
    `${formatCount(changes.length, 'change')}${attention > 0 ? `, ${attention} marked ! can harm requests` : ''}`,
    `${formatCount(newValueCount, 'value')} to publish, ${newValueCount === 1 ? 'the head' : 'the head last'}; ${unchangedValueCount} unchanged`
  ]
}

const run = async (before: string, after: string, options: Options, io: Io): Promise<Outcome> => {
  const reads = [await readValidAnswers(before), await readValidAnswers(after)]
  for (const read of reads) {
    if (read.ok) continue
    printStderrLines(io, read.error.lines)
    return read.error
  }
  const [oldAnswers, newAnswers] = reads.flatMap(read => read.ok ? [read.value.answers] : [])
  if (!oldAnswers || !newAnswers) return { exit: 'internal' }
  const diff = diffAnswers(oldAnswers, newAnswers)
  if (options.json) printJson(io, diff)
  else printLines(io, describeDiff(diff))
  return { exit: 'ok' }
}

export const diffCommand: CommandModule = {
  name: 'diff',
  register: (program, io, finish) => {
    program.command('diff')
      .summary('describe what new answers change')
      .description(`Describes what changes from the old answers to the new ones, and the effect of
each change on the running fleet. Changes that can harm requests are marked
with !.`)
      .argument('<old>', 'answers file in force')
      .argument('<new>', 'answers file to publish')
      .option('--json', 'print JSON')
      .action(async (before: string, after: string, options: Options) => finish(await run(before, after, options, io), options))
  }
}
