/**
 * Reads and checks an answers file, and prints its findings.
 */
import { readFile } from 'node:fs/promises'
import type { Result } from '@wisteriavalve/common'
import type { Answers } from '@wisteriavalve/schema'
import { checkAnswers, questionById, type CheckedAnswers, type Finding } from '@wisteriavalve/questionnaire'
import { formatCount } from './output.js'
import { describeSystemError } from './system-error.js'
import type { ToolFailure } from './types.js'

export const readText = async (path: string): Promise<Result<string, ToolFailure>> => {
  try {
    return { ok: true, value: await readFile(path, 'utf8') }
  } catch (error) {
    return { ok: false, error: { result: 'answers-unreadable', message: `${path}: ${describeSystemError(error)}` } }
  }
}

export const formatFindingCounts = (findings: readonly Finding[]): string => {
  const faults = findings.filter(({ severity }) => severity === 'fault').length
  return `${formatCount(faults, 'fault')}, ${formatCount(findings.length - faults, 'warning')}`
}

const describePlace = (file: string, { place, path }: Finding): string =>
  [file, ...(place ? [place.line, place.column] : [])].join(':') + (path === '' ? '' : ` ${path}`)

/** Lines of one finding: its location, its message and the related question. */
export const describeFinding = (file: string, finding: Finding): string[] => {
  const question = finding.questionId === undefined ? undefined : questionById(finding.questionId)
  return [
    `${describePlace(file, finding)}`,
    `  ${finding.severity}: ${finding.message}`,
    ...(question ? [`  question ${question.id}: ${question.text}`] : [])
  ]
}

export const findingsDocument = (findings: readonly Finding[]) => ({
  faults: findings.filter(({ severity }) => severity === 'fault').map(({ severity, ...rest }) => rest),
  warnings: findings.filter(({ severity }) => severity === 'warning').map(({ severity, ...rest }) => rest)
})

/** Failure reported for answers with faults. */
export const toToolFailure = (file: string, checked: Exclude<CheckedAnswers, { state: 'valid' }>): ToolFailure => ({
  result: checked.state === 'unreadable' ? 'answers-unreadable' : 'answers-invalid',
  message: `${file} has ${formatFindingCounts(checked.findings)}`,
  details: findingsDocument(checked.findings)
})

export type ValidAnswers = { answers: Answers, findings: Finding[], text: string }

export type AnswersFailure = { failure: ToolFailure, lines: string[] }

/** Returns the answers if they have no faults, otherwise the failure and the lines that describe it. */
export const readValidAnswers = async (file: string): Promise<Result<ValidAnswers, AnswersFailure>> => {
  const text = await readText(file)
  if (!text.ok) return { ok: false, error: { failure: text.error, lines: [] } }
  const checked = checkAnswers(text.value)
  return checked.state === 'valid'
    ? { ok: true, value: { answers: checked.answers, findings: checked.findings, text: text.value } }
    : { ok: false, error: { failure: toToolFailure(file, checked), lines: checked.findings.flatMap(finding => describeFinding(file, finding)) } }
}
