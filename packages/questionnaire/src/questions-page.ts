/**
 * Renders docs/questionnaire.md from the list of questions.
 */
import { formatValue } from './answer-types.js'
import { isRequired, questionPath, questionsOf, type Question, type QuestionScope } from './questions.js'

const SECTIONS: readonly { scope: QuestionScope, title: string, intro: string }[] = [
  { scope: 'fleet', title: 'The fleet', intro: 'Asked once.' },
  { scope: 'service', title: 'Each service', intro: 'A service is a group of targets that serve the same requests.' },
  { scope: 'target', title: 'Each fixed target', intro: 'Only for targets that the VM list does not contain; usually there are none.' },
  { scope: 'kind', title: 'Each kind of request', intro: 'A request belongs to the first kind of its service whose methods and path match it. Other requests are never retried or hedged and have the weight 1.' }
]

const describeDefault = (question: Question): string => {
  if (isRequired(question)) return 'required'
  if (question.defaultText !== undefined) return question.defaultText
  return `\`${formatValue(question.default)}\``
}

const escapeCell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('*', '\\*')

const renderRow = (question: Question): string => {
  const cells = [`\`${questionPath(question)}\``, escapeCell(question.text), escapeCell(question.rationale), escapeCell(question.type.expected), describeDefault(question), `\`${question.id}\``]
  return `| ${cells.join(' | ')} |`
}

const renderSection = ({ scope, title, intro }: typeof SECTIONS[number]): string[] => [
  `## ${title}`, '', intro, '',
  '| Path in the file | Question | Why it is asked | Answer | Default | Id |',
  '| --- | --- | --- | --- | --- | --- |',
  ...questionsOf(scope).map(renderRow), ''
]

export const renderQuestionsPage = (): string => [
  '# Questionnaire', '',
  'All questions of `wisteriavalve init`. `wisteriavalve check` names the id of a question with each fault. An answers file begins with `format: 1`; [examples/okonkwo.yaml](../examples/okonkwo.yaml) and [examples/authority.yaml](../examples/authority.yaml) are complete ones. This page is generated from packages/questionnaire/src/questions.ts by `node packages/questionnaire/scripts/questions-page.js`.', '',
  ...SECTIONS.flatMap(renderSection)
].join('\n')
