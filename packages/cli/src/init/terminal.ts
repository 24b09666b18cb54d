/**
 * Asks in the terminal through @inquirer/prompts.
 */
import { Writable } from 'node:stream'
import { checkbox, confirm, input, select } from '@inquirer/prompts'
import { formatValue, type AnswerValue, type Question } from '@wisteriavalve/questionnaire'
import { COLUMNS, wrapText } from '../text.js'
import type { Io } from '../types.js'
import type { Asker } from './types.js'

const describeExpected = ({ type }: Question): string => `Expected: ${type.expected}.`

export const createTerminalAsker = (io: Io): Asker => {
  /** Each prompt ends its output, which must stay open for the next one. */
  const createContext = () => ({
    input: io.stdin,
    output: new Writable({ write: (chunk, _encoding, done) => { io.stdout.write(chunk, done) } })
  })
  const say = (text: string): void => { io.stdout.write(`${wrapText(text, COLUMNS, '  ').join('\n')}\n`) }

  const askText = async ({ type, text }: Question, proposed: AnswerValue | undefined): Promise<AnswerValue> => {
    const answer = await input({
      message: text,
      default: proposed === undefined || (Array.isArray(proposed) && proposed.length === 0) ? undefined : formatValue(proposed),
      validate: typed => type.validate(type.parse(typed)) ?? true
    }, createContext())
    return type.parse(answer)
  }

  const ask: Asker['ask'] = async (question, _scope, proposed) => {
    const { type, text } = question
    io.stdout.write('\n')
    say(question.why)
    if (type.isBoolean) return await confirm({ message: text, default: proposed === true }, createContext())
    if (type.choices && type.multiple) {
      const chosen = Array.isArray(proposed) ? proposed : []
      return await checkbox({
        message: text, required: true, choices: type.choices.map(value => ({ value, checked: chosen.includes(value) }))
      }, createContext())
    }
    if (type.choices) return await select({ message: text, choices: [...type.choices], default: proposed }, createContext())
    say(describeExpected(question))
    return await askText(question, proposed)
  }

  return {
    say,
    ask,
    confirm: (message, proposed) => confirm({ message, default: proposed }, createContext()),
    choose: (message, choices) => select({ message, choices: [...choices] }, createContext())
  }
}
