/**
 * Checks answers: the YAML syntax, each answer against its question, the schema
 * for what no question covers, and the answers against each other. One run
 * reports all faults.
 */
import { explainErrors, isAnswers, type Answers } from '@wisteriavalve/schema'
import { checkDeadlines } from './checks/deadlines.js'
import { checkLimits } from './checks/limits.js'
import { checkRouting } from './checks/routing.js'
import { checkSizes } from './checks/sizes.js'
import type { ReportFinding, CrossCheck } from './checks/types.js'
import { checkUnique } from './checks/unique.js'
import { viewAnswers } from './checks/view.js'
import { readDocument, type AnswersDocument } from './document.js'
import { formatPath, parsePointer, answerPathsOf, questionAt, valueAt, type AnswerPath } from './paths.js'
import { isRequired, QUESTIONS } from './questions.js'
import type { Finding, Severity } from './types.js'

const CROSS_CHECKS: readonly CrossCheck[] = [checkUnique, checkRouting, checkLimits, checkDeadlines]

export type CheckedAnswers =
  /** The text is not valid YAML. */
  | { state: 'unreadable', findings: Finding[] }
  | { state: 'faulty', findings: Finding[] }
  /** All findings are warnings. */
  | { state: 'valid', findings: Finding[], answers: Answers }

const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null

/** A missing answer is reported only when the object that should contain it exists. */
const checkEachAnswer = (root: unknown, report: ReportFinding): void => {
  for (const question of QUESTIONS) {
    for (const path of answerPathsOf(question, root)) {
      const value = valueAt(root, path)
      const parent = valueAt(root, path.slice(0, -1))
      if (value !== undefined) {
        const fault = question.type.validate(value)
        if (fault) report('fault', path, fault)
      } else if (isObject(parent) && isRequired(question)) {
        report('fault', path, 'is missing')
      }
    }
  }
}

/** Reports faults that no question covers: unknown fields, missing objects, values of the wrong type. */
const checkSchema = (root: unknown, report: ReportFinding, isFaulty: (path: AnswerPath) => boolean): void => {
  if (isAnswers(root)) return
  for (const { path: pointer, message } of explainErrors(isAnswers)) {
    const path = parsePointer(pointer)
    const missing = /required property '(.+)'/.exec(message)?.[1]
    const faultPath = missing === undefined ? path : [...path, missing]
    if (!isFaulty(faultPath)) report('fault', faultPath, missing === undefined ? message : 'is missing')
  }
}

const createFindings = (document: AnswersDocument) => {
  const findings: Finding[] = []
  const faultyPaths = new Set<string>()
  const faultyLists = new Set<string>()
  const report = (severity: Severity, path: AnswerPath, message: string): void => {
    findings.push({ severity, path: formatPath(path), place: document.placeOf(path), message, questionId: questionAt(path)?.id })
    if (severity !== 'fault') return
    faultyPaths.add(formatPath(path))
    if (typeof path.at(-1) === 'number') faultyLists.add(formatPath(path.slice(0, -1)))
  }
  /** A value counts as faulty when a fault was reported for it, for an object or list that contains it, or for an item of it. */
  const isFaulty = (path: AnswerPath): boolean =>
    path.some((_, index) => faultyPaths.has(formatPath(path.slice(0, index + 1)))) || faultyLists.has(formatPath(path))
  return { findings, report, isFaulty }
}

const compareByPlace = (a: Finding, b: Finding): number =>
  (a.place?.line ?? 0) - (b.place?.line ?? 0) || (a.place?.column ?? 0) - (b.place?.column ?? 0)

/** @param text contents of an answers file */
export const checkAnswers = (text: string): CheckedAnswers => {
  const read = readDocument(text)
  if ('faults' in read) return { state: 'unreadable', findings: read.faults }
  const { document } = read
  const { root } = document
  const { findings, report, isFaulty } = createFindings(document)
  if (!isObject(root) || Array.isArray(root)) {
    report('fault', [], root === null || root === undefined ? 'the file is empty' : 'must be a mapping of questions to answers')
    return { state: 'faulty', findings }
  }
  checkEachAnswer(root, report)
  checkSchema(root, report, isFaulty)
  const isEachAnswerValid = findings.length === 0
  const view = viewAnswers(root, isFaulty)
  for (const check of CROSS_CHECKS) check(view, report)
  if (isEachAnswerValid) checkSizes(root as Answers, report)
  findings.sort(compareByPlace)
  return findings.some(({ severity }) => severity === 'fault')
    ? { state: 'faulty', findings }
    : { state: 'valid', findings, answers: root as Answers }
}
