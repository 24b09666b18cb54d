/**
 * Terminal prompts, based on @inquirer/prompts.
 */
import { Writable } from 'node:stream'
import { checkbox, confirm, input, select } from '@inquirer/prompts'
import { formatValue, type AnswerValue, type Question } from '@wisteriavalve/questionnaire'
import { TERMINAL_COLUMNS, wrapText } from '../text.js'
import type { Io } from '../types.js'
import type { Prompter } from './types.js'

const describeExpected = ({ type }: Question): string => `Expected: ${type.expected}.`

export const createTerminalPrompter = (io: Io): Prompter => {
  /** Each prompt ends its output stream, so it gets a wrapper; stdout must stay open for the next prompt. */
  const createContext = () => ({
    input: io.stdin,
    output: new Writable({ write: (chunk, _encoding, done) => { io.stdout.write(chunk, done) } })
  })
  const showMessage = (text: string): void => { io.stdout.write(`${wrapText(text, TERMINAL_COLUMNS, '  ').join('\n')}\n`) }

  const promptText = async ({ type, text }: Question, proposed: AnswerValue | undefined): Promise<AnswerValue> => {
    const answer = await input({
      message: text,
      default: proposed === undefined || (Array.isArray(proposed) && proposed.length === 0) ? undefined : formatValue(proposed),
      validate: typed => type.validate(type.parse(typed)) ?? true
    }, createContext())
    return type.parse(answer)
  }

  const ask: Prompter['ask'] = async (question, _scope, proposed) => {
    const { type, text } = question
    io.stdout.write('\n')
    showMessage(question.rationale)
    if (type.isBoolean) return await confirm({ message: text, default: proposed === true }, createContext())
    if (type.choices && type.isMultiple) {
      const chosen = Array.isArray(proposed) ? proposed : []
      return await checkbox({
        message: text, required: true, choices: type.choices.map(value => ({ value, checked: chosen.includes(value) }))
      }, createContext())
    }
    if (type.choices) return await select({ message: text, choices: [...type.choices], default: proposed }, createContext())
    showMessage(describeExpected(question))
    return await promptText(question, proposed)
  }

  return {
    showMessage,
    ask,
    confirm: (message, proposed) => confirm({ message, default: proposed }, createContext()),
    choose: (message, choices) => select({ message, choices: [...choices] }, createContext())
  }
}
