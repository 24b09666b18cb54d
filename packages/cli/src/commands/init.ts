/**
 * `wisteriavalve init`: asks the questionnaire, or takes over answers from a
 * file, and writes an answers file.
 */
import { access } from 'node:fs/promises'
import { parse } from 'yaml'
import {
  checkAnswers, completeAnswers, questionById, renderAnswers, type Finding, type Question
} from '@wisteriavalve/questionnaire'
import { createInterview } from '../init/interview.js'
import { createTerminalAsker } from '../init/terminal.js'
import type { Asker, Draft } from '../init/types.js'
import { countOf, printJson, printLines, printWarnings } from '../output.js'
import { countFindings, describeFinding, failureOfFindings, findingsDocument, readText, readValidAnswers } from '../read-answers.js'
import type { CommandModule, Io, Outcome } from '../types.js'
import { writeBeside, writeWhole } from '../write-file.js'

type Options = { answers?: string, from?: string, force?: boolean, json?: boolean }

const exists = (path: string): Promise<boolean> => access(path).then(() => true, () => false)

const isInterruption = (error: unknown): boolean => error instanceof Error && error.name === 'ExitPromptError'

const writeAnswers = async (file: string, text: string, findings: readonly Finding[], options: Options, io: Io): Promise<Outcome> => {
  const written = await writeWhole(file, text, options.force ?? false)
  if (!written.ok) return { failure: written.error }
  if (options.json) printJson(io, { file, warnings: findingsDocument(findings).warnings })
  else printLines(io, [...findings.flatMap(finding => describeFinding(file, finding)), `wrote ${file}: ${countFindings(findings)}`])
  return { exit: 'ok' }
}

/** Takes over answers without asking; defaults that were left out are stated. */
const takeOver = async (file: string, source: string, options: Options, io: Io): Promise<Outcome> => {
  const read = await readValidAnswers(source)
  if (!read.ok) {
    printWarnings(io, read.error.lines)
    return read.error
  }
  return await writeAnswers(file, completeAnswers(read.value.text), read.value.findings, options, io)
}

type Interview = ReturnType<typeof createInterview>

const placesToAsk = (findings: readonly Finding[]): { question: Question, path: string }[] => {
  const places = new Map(findings.flatMap(({ severity, path, questionId }) => {
    const question = severity === 'fault' && questionId !== undefined ? questionById(questionId) : undefined
    return question ? [[path, { question, path: path.endsWith(']') ? path.replace(/\[\d+\]$/, '') : path }] as const] : []
  }))
  return [...places.values()]
}

/** Asks everything, and what has faults again as long as the operator wants to. */
const interviewUntilValid = async (asker: Asker, interview: Interview, draft: Draft, file: string) => {
  await interview.askAll(draft)
  for (;;) {
    const text = renderAnswers(draft)
    const checked = checkAnswers(text)
    if (checked.state === 'valid') return { text, checked }
    for (const finding of checked.findings) asker.say(describeFinding(file, { ...finding, place: undefined }).join(' '))
    const places = placesToAsk(checked.findings)
    if (places.length === 0 || !await asker.confirm('Answer the questions with faults again?', true)) return { text, checked }
    await interview.askAgain(draft, places)
  }
}

const saveDraft = async (file: string, draft: Draft, answerCount: number, io: Io): Promise<void> => {
  const saved = await writeBeside(`${file}.partial`, renderAnswers(draft))
  printWarnings(io, saved.ok
    ? [`${countOf(answerCount, 'answer')} saved to ${saved.value}; continue with:`, `  wisteriavalve init ${file} --from ${saved.value}`]
    : [saved.error.message])
}

/** Earlier answers may have faults or be incomplete; what is there is proposed again. */
const readDraft = async (from: string | undefined): Promise<{ draft: Draft } | { failure: Outcome }> => {
  if (from === undefined) return { draft: { format: 1 } }
  const text = await readText(from)
  if (!text.ok) return { failure: { failure: text.error } }
  const checked = checkAnswers(text.value)
  if (checked.state === 'unreadable') return { failure: { failure: failureOfFindings(from, checked) } }
  const root: unknown = parse(text.value, { maxAliasCount: -1 })
  return { draft: { ...(typeof root === 'object' && !Array.isArray(root) ? root : {}), format: 1 } }
}

const askAnswers = async (file: string, options: Options, io: Io): Promise<Outcome> => {
  const start = await readDraft(options.from)
  if ('failure' in start) return start.failure
  const { draft } = start
  let answerCount = 0
  const asker = createTerminalAsker(io)
  const interview = createInterview(asker, () => { answerCount++ })
  try {
    const { text, checked } = await interviewUntilValid(asker, interview, draft, file)
    if (checked.state === 'valid') return await writeAnswers(file, text, checked.findings, options, io)
    await saveDraft(file, draft, answerCount, io)
    return { failure: failureOfFindings(file, checked) }
  } catch (error) {
    if (!isInterruption(error)) throw error
    io.stdout.write('\n')
    await saveDraft(file, draft, answerCount, io)
    return { exit: 'interrupted' }
  }
}

const run = async (file: string, options: Options, io: Io): Promise<Outcome> => {
  if (options.answers !== undefined && options.from !== undefined) {
    return { failure: { result: 'usage', message: '--answers takes answers over without asking and --from asks again; give one of them' } }
  }
  if (!options.force && await exists(file)) {
    return { failure: { result: 'output-failed', message: `${file} exists already; add --force to replace it` } }
  }
  return options.answers === undefined ? await askAnswers(file, options, io) : await takeOver(file, options.answers, options, io)
}

export const initCommand: CommandModule = {
  name: 'init',
  register: (program, io, finish) => {
    program.command('init')
      .summary('answer the questionnaire')
      .description(`Asks the questionnaire and writes an answers file. Each question says why it is
asked and proposes an answer; Enter takes it. Ctrl-C saves the answers given so
far beside the file, and --from continues with them.`)
      .argument('<file>', 'answers file to write (YAML)')
      .option('--from <file>', 'ask again, with the answers of an earlier file as proposals')
      .option('--answers <file>', 'ask nothing: check the answers of a file and state its defaults')
      .option('--force', 'replace the file if it exists')
      .option('--json', 'print the result as JSON, after the questions')
      .action(async (file: string, options: Options) => finish(await run(file, options, io), options))
  }
}
