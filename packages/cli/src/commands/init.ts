/**
 * `wisteriavalve init`: asks the questions of the questionnaire, or imports the
 * answers of a file, and writes an answers file.
 */
import { access } from 'node:fs/promises'
import { parse } from 'yaml'
import {
  checkAnswers, addDefaultAnswers, questionById, renderAnswers, type Finding, type Question
} from '@wisteriavalve/questionnaire'
import { createInterview } from '../init/interview.js'
import { createTerminalPrompter } from '../init/terminal.js'
import type { Prompter, Draft } from '../init/types.js'
import { formatCount, printJson, printLines, printStderrLines } from '../output.js'
import { formatFindingCounts, describeFinding, toToolFailure, findingsDocument, readText, readValidAnswers } from '../read-answers.js'
import type { CommandModule, Io, Outcome } from '../types.js'
import { writeToUnusedName, writeFileAtomically } from '../write-file.js'

type Options = { answers?: string, from?: string, force?: boolean, json?: boolean }

const exists = (path: string): Promise<boolean> => access(path).then(() => true, () => false)

const isInterruption = (error: unknown): boolean => error instanceof Error && error.name === 'ExitPromptError'

const writeAnswers = async (file: string, text: string, findings: readonly Finding[], options: Options, io: Io): Promise<Outcome> => {
  const written = await writeFileAtomically(file, text, options.force ?? false)
  if (!written.ok) return { failure: written.error }
  if (options.json) printJson(io, { file, warnings: findingsDocument(findings).warnings })
  else printLines(io, [...findings.flatMap(finding => describeFinding(file, finding)), `wrote ${file}: ${formatFindingCounts(findings)}`])
  return { exit: 'ok' }
}

/** Imports the answers of a file without asking questions and adds the defaults that the file leaves out. */
const importAnswers = async (file: string, source: string, options: Options, io: Io): Promise<Outcome> => {
  const read = await readValidAnswers(source)
  if (!read.ok) {
    printStderrLines(io, read.error.lines)
    return read.error
  }
  return await writeAnswers(file, addDefaultAnswers(read.value.text), read.value.findings, options, io)
}

type Interview = ReturnType<typeof createInterview>

const findPlacesToAsk = (findings: readonly Finding[]): { question: Question, path: string }[] => {
  const places = new Map(findings.flatMap(({ severity, path, questionId }) => {
    const question = severity === 'fault' && questionId !== undefined ? questionById(questionId) : undefined
    return question ? [[path, { question, path: path.endsWith(']') ? path.replace(/\[\d+\]$/, '') : path }] as const] : []
  }))
  return [...places.values()]
}

/** Asks all questions, then repeats those with faults until there are none or the operator declines. */
const interviewUntilValid = async (prompter: Prompter, interview: Interview, draft: Draft, file: string) => {
  await interview.askAll(draft)
  for (;;) {
    const text = renderAnswers(draft)
    const checked = checkAnswers(text)
    if (checked.state === 'valid') return { text, checked }
    for (const finding of checked.findings) prompter.showMessage(describeFinding(file, { ...finding, place: undefined }).join(' '))
    const places = findPlacesToAsk(checked.findings)
    if (places.length === 0 || !await prompter.confirm('Answer the questions with faults again?', true)) return { text, checked }
    await interview.askAgain(draft, places)
  }
}

const saveDraft = async (file: string, draft: Draft, answerCount: number, io: Io): Promise<void> => {
  const saved = await writeToUnusedName(`${file}.partial`, renderAnswers(draft))
  printStderrLines(io, saved.ok
    ? [`${formatCount(answerCount, 'answer')} saved to ${saved.value}; continue with:`, `  wisteriavalve init ${file} --from ${saved.value}`]
    : [saved.error.message])
}

/** Reads earlier answers as proposals; they may be incomplete or have faults. */
const readDraft = async (from: string | undefined): Promise<{ draft: Draft } | { failure: Outcome }> => {
  if (from === undefined) return { draft: { format: 1 } }
  const text = await readText(from)
  if (!text.ok) return { failure: { failure: text.error } }
  const checked = checkAnswers(text.value)
  if (checked.state === 'unreadable') return { failure: { failure: toToolFailure(from, checked) } }
  const root: unknown = parse(text.value, { maxAliasCount: -1 })
  return { draft: { ...(typeof root === 'object' && !Array.isArray(root) ? root : {}), format: 1 } }
}

const askAnswers = async (file: string, options: Options, io: Io): Promise<Outcome> => {
  const start = await readDraft(options.from)
  if ('failure' in start) return start.failure
  const { draft } = start
  let answerCount = 0
  const prompter = createTerminalPrompter(io)
  const interview = createInterview(prompter, () => { answerCount++ })
  try {
    const { text, checked } = await interviewUntilValid(prompter, interview, draft, file)
    if (checked.state === 'valid') return await writeAnswers(file, text, checked.findings, options, io)
    await saveDraft(file, draft, answerCount, io)
    return { failure: toToolFailure(file, checked) }
  } catch (error) {
    if (!isInterruption(error)) throw error
    io.stdout.write('\n')
    await saveDraft(file, draft, answerCount, io)
    return { exit: 'interrupted' }
  }
}

const run = async (file: string, options: Options, io: Io): Promise<Outcome> => {
  if (options.answers !== undefined && options.from !== undefined) {
    return { failure: { result: 'usage', message: '--answers asks no questions and --from asks them again; give only one of them' } }
  }
  if (!options.force && await exists(file)) {
    return { failure: { result: 'output-failed', message: `${file} exists already; add --force to replace it` } }
  }
  return options.answers === undefined ? await askAnswers(file, options, io) : await importAnswers(file, options.answers, options, io)
}

export const initCommand: CommandModule = {
  name: 'init',
  register: (program, io, finish) => {
    program.command('init')
      .summary('answer the questionnaire')
      .description(`Asks the questions of the questionnaire and writes an answers file. Each
question states its purpose and proposes an answer; Enter accepts it. Ctrl-C
saves the answers given so far next to the file, and --from continues with them.`)
      .argument('<file>', 'answers file to write (YAML)')
      .option('--from <file>', 'ask all questions, with the answers of an earlier file as proposals')
      .option('--answers <file>', 'ask no questions: check the answers of a file and add the defaults it leaves out')
      .option('--force', 'replace the file if it exists')
      .option('--json', 'print the result as JSON, after the questions')
      .action(async (file: string, options: Options) => finish(await run(file, options, io), options))
  }
}
