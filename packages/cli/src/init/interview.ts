/**
 * Asks the questions in order. Each answer is stored in the draft at once, so
 * an interruption loses none.
 */
import {
  questionsOf, valueAt, type AnswerValue, type Question, type QuestionScope
} from '@wisteriavalve/questionnaire'
import type { Prompter, Draft } from './types.js'

const setField = (scope: Draft, field: string, value: unknown): void => {
  const parts = field.split('.')
  const last = parts.pop() as string
  const parent = parts.reduce((container, name) => {
    if (typeof container[name] !== 'object' || container[name] === null) container[name] = {}
    return container[name] as Draft
  }, scope)
  parent[last] = value
}

const fieldOf = (scope: Draft, { field }: Question): unknown => valueAt(scope, field.split('.'))

/** The earlier answer if it is valid, otherwise the default. */
const proposedAnswer = (question: Question, scope: Draft, parentScope?: Draft): AnswerValue | undefined => {
  const earlier = fieldOf(scope, question)
  if (earlier !== undefined && !question.type.validate(earlier)) return earlier as AnswerValue
  const inherited = question.isOptional && parentScope ? fieldOf(parentScope, question) : undefined
  return question.default ?? question.propose?.(scope) ?? inherited as AnswerValue | undefined
}

/** @param onAnswer called after each answer */
export const createInterview = (prompter: Prompter, onAnswer: () => void) => {
  const askOne = async (question: Question, scope: Draft, parentScope?: Draft): Promise<void> => {
    setField(scope, question.field, await prompter.ask(question, scope, proposedAnswer(question, scope, parentScope)))
    onAnswer()
  }

  const askScope = async (name: QuestionScope, scope: Draft, parentScope?: Draft): Promise<void> => {
    for (const question of questionsOf(name)) await askOne(question, scope, parentScope)
  }

  const getOrCreateList = (parent: Draft, field: string): Draft[] => {
    if (!Array.isArray(parent[field])) parent[field] = []
    return parent[field] as Draft[]
  }

  const displayName = (item: Draft): string => String(item.name ?? item.id ?? 'without a name')

  /** Offers to keep, change or remove each existing item, then adds new ones. */
  const askList = async (
    itemLabel: string, parent: Draft, field: string, countMin: number, askItem: (item: Draft) => Promise<void>
  ): Promise<void> => {
    const items = getOrCreateList(parent, field)
    for (const item of [...items]) {
      const action = await prompter.choose(`The ${itemLabel} ${displayName(item)}:`, [
        { name: 'keep its answers', value: 'keep' }, { name: 'ask again', value: 'ask' }, { name: 'remove it', value: 'remove' }
      ])
      if (action === 'ask') await askItem(item)
      if (action === 'remove') items.splice(items.indexOf(item), 1)
    }
    while (items.length < countMin || await prompter.confirm(`Add ${items.length > 0 ? 'another' : 'a'} ${itemLabel}?`, false)) {
      const item: Draft = {}
      items.push(item)
      prompter.showMessage(`${itemLabel} ${items.length}:`)
      await askItem(item)
    }
  }

  const askKind = (service: Draft) => async (kind: Draft): Promise<void> => {
    await askScope('kind', kind, service)
    if (JSON.stringify(kind.objective) === JSON.stringify(service.objective)) delete kind.objective
  }

  const askService = async (service: Draft): Promise<void> => {
    await askScope('service', service)
    await askList('fixed target, besides those of the VM list', service, 'targets', 0, target => askScope('target', target))
    if (getOrCreateList(service, 'targets').length === 0) delete service.targets
    await askList('kind', service, 'kinds', 1, askKind(service))
  }

  const askAll = async (draft: Draft): Promise<void> => {
    await askScope('fleet', draft)
    await askList('service', draft, 'services', 1, askService)
  }

  /** Asks individual questions again, each at a path such as services[0].kinds[1].path. */
  const askAgain = async (draft: Draft, places: readonly { question: Question, path: string }[]): Promise<void> => {
    for (const { question, path } of places) {
      const scopePath = path.slice(0, -question.field.length).replaceAll(/\[(\d+)\]/g, '.$1').split('.').filter(part => part !== '')
      const scope = valueAt(draft, scopePath)
      if (typeof scope !== 'object' || scope === null) continue
      prompter.showMessage(`${path}:`)
      await askOne(question, scope as Draft)
    }
  }

  return { askAll, askAgain }
}
