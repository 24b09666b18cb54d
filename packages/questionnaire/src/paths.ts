/**
 * Paths into an answers file: as a list of keys, and as text such as
 * services[0].kinds[1].path.
 */
import { QUESTIONS, questionPath, type Question } from './questions.js'

export type AnswerPath = readonly (string | number)[]

export const formatPath = (path: AnswerPath): string =>
  path.map((part, index) => typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`).join('')

/** Parses a JSON pointer of ajv. */
export const parsePointer = (pointer: string): AnswerPath =>
  pointer.split('/').slice(1).map(part => /^\d+$/.test(part) ? Number(part) : part.replaceAll('~1', '/').replaceAll('~0', '~'))

export const valueAt = (root: unknown, path: AnswerPath): unknown =>
  path.reduce((value: unknown, part) => value === null || typeof value !== 'object' ? undefined : (value as Record<string | number, unknown>)[part], root)

const withoutIndexes = (path: AnswerPath): string => formatPath(path).replaceAll(/\[\d+\]/g, '[]')

const byPath = new Map(QUESTIONS.map(question => [questionPath(question), question]))

/** Question that the value at a path answers; an item of a list of values belongs to the question of the list. */
export const questionAt = (path: AnswerPath): Question | undefined =>
  byPath.get(withoutIndexes(path)) ??
  (typeof path.at(-1) === 'number' ? byPath.get(withoutIndexes(path.slice(0, -1))) : undefined)

const LIST_SUFFIX = '[]'

/** Paths of all answers to a question in a document, whether given or not. */
export const answerPathsOf = (question: Question, root: unknown): AnswerPath[] => {
  const parts = questionPath(question).split('.')
  return parts.reduce<AnswerPath[]>((paths, part) => {
    if (!part.endsWith(LIST_SUFFIX)) return paths.map(path => [...path, part])
    const name = part.slice(0, -LIST_SUFFIX.length)
    return paths.flatMap(path => {
      const items = valueAt(root, [...path, name])
      return Array.isArray(items) ? items.map((_, index) => [...path, name, index]) : []
    })
  }, [[]])
}
