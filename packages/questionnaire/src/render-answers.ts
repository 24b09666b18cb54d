/**
 * Renders answers as YAML for people to read and edit. Each question appears as
 * a comment above its first answer.
 */
import { Document, isPair, isScalar, isSeq, parseDocument, visit } from 'yaml'
import { answerPathsOf, questionAt, valueAt, type AnswerPath } from './paths.js'
import { QUESTIONS } from './questions.js'

const STYLE = { lineWidth: 100, flowCollectionPadding: false }

type VisitPath = readonly unknown[]

/** Path of the visited pair, from its ancestors. */
const pathOfPair = (ancestors: VisitPath, key: string): AnswerPath => [
  ...ancestors.flatMap((node, index): (string | number)[] => {
    const inner = ancestors[index + 1]
    if (isPair(node) && isScalar(node.key)) return [String(node.key.value)]
    return isSeq(node) && inner !== undefined ? [node.items.indexOf(inner)] : []
  }),
  key
]

const addQuestionComments = (document: Document): void => {
  const commentedIds = new Set<string>()
  visit(document, {
    Pair: (_key, pair, ancestors) => {
      if (!isScalar(pair.key)) return
      const question = questionAt(pathOfPair(ancestors, String(pair.key.value)))
      if (!question || commentedIds.has(question.id)) return
      commentedIds.add(question.id)
      pair.key.commentBefore = ` ${question.text}`
    }
  })
}

export const renderAnswers = (answers: unknown): string => {
  const document = new Document(answers)
  document.commentBefore = ' Answers to the questionnaire of wisteriavalve. Check them after a change:\n wisteriavalve check FILE'
  addQuestionComments(document)
  return document.toString(STYLE)
}

/** Adds the default of each answer that is not given, and keeps comments. The text must be valid YAML. */
export const addDefaultAnswers = (text: string): string => {
  const document = parseDocument(text)
  const root: unknown = document.toJS({ maxAliasCount: -1 })
  for (const question of QUESTIONS) {
    if (question.default === undefined || question.type.isMultiple) continue
    for (const path of answerPathsOf(question, root)) {
      if (valueAt(root, path) === undefined) document.setIn(path, question.default)
    }
  }
  return document.toString(STYLE)
}
