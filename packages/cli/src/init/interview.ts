/**
 * Order of the questions. Answers go into the draft as they are given, so that
 * an interruption loses none of them.
 */
import {
  questionsOf, valueAt, type AnswerValue, type Question, type QuestionScope
} from '@wisteriavalve/questionnaire'
import type { Asker, Draft } from './types.js'

const setField = (scope: Draft, field: string, value: unknown): void => {
  const parts = field.split('.')
  const last = parts.pop() as string
  const parent = parts.reduce((part, name) => {
    if (typeof part[name] !== 'object' || part[name] === null) part[name] = {}
    return part[name] as Draft
  }, scope)
  parent[last] = value
}

const fieldOf = (scope: Draft, { field }: Question): unknown => valueAt(scope, field.split('.'))

/** The answer given before, when it is valid; otherwise the default. */
const proposalFor = (question: Question, scope: Draft, around?: Draft): AnswerValue | undefined => {
  const earlier = fieldOf(scope, question)
  if (earlier !== undefined && !question.type.validate(earlier)) return earlier as AnswerValue
  const inherited = question.optional && around ? fieldOf(around, question) : undefined
  return question.default ?? question.propose?.(scope) ?? inherited as AnswerValue | undefined
}

/** @param onAnswer called after each answer */
export const createInterview = (asker: Asker, onAnswer: () => void) => {
  const askOne = async (question: Question, scope: Draft, around?: Draft): Promise<void> => {
    setField(scope, question.field, await asker.ask(question, scope, proposalFor(question, scope, around)))
    onAnswer()
  }

  const askScope = async (name: QuestionScope, scope: Draft, around?: Draft): Promise<void> => {
    for (const question of questionsOf(name)) await askOne(question, scope, around)
  }

  const listOf = (parent: Draft, field: string): Draft[] => {
    if (!Array.isArray(parent[field])) parent[field] = []
    return parent[field] as Draft[]
  }

  const nameOf = (item: Draft): string => String(item.name ?? item.id ?? 'without a name')

  /** Goes through the earlier items, then adds new ones. */
  const askList = async (
    noun: string, parent: Draft, field: string, countMin: number, askItem: (item: Draft) => Promise<void>
  ): Promise<void> => {
    const items = listOf(parent, field)
    for (const item of [...items]) {
      const action = await asker.choose(`The ${noun} ${nameOf(item)}:`, [
        { name: 'keep its answers', value: 'keep' }, { name: 'ask again', value: 'ask' }, { name: 'remove it', value: 'remove' }
      ])
      if (action === 'ask') await askItem(item)
      if (action === 'remove') items.splice(items.indexOf(item), 1)
    }
    while (items.length < countMin || await asker.confirm(`Add ${items.length > 0 ? 'another' : 'a'} ${noun}?`, false)) {
      const item: Draft = {}
      items.push(item)
      asker.say(`${noun} ${items.length}:`)
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
    if (listOf(service, 'targets').length === 0) delete service.targets
    await askList('kind', service, 'kinds', 1, askKind(service))
  }

  const askAll = async (draft: Draft): Promise<void> => {
    await askScope('fleet', draft)
    await askList('service', draft, 'services', 1, askService)
  }

  /** Asks single questions again, at places such as services[0].kinds[1].path. */
  const askAgain = async (draft: Draft, places: readonly { question: Question, path: string }[]): Promise<void> => {
    for (const { question, path } of places) {
      const around = path.slice(0, -question.field.length).replaceAll(/\[(\d+)\]/g, '.$1').split('.').filter(part => part !== '')
      const scope = valueAt(draft, around)
      if (typeof scope !== 'object' || scope === null) continue
      asker.say(`${path}:`)
      await askOne(question, scope as Draft)
    }
  }

  return { askAll, askAgain }
}
