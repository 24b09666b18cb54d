/**
 * Types of answers: parsing of typed text, validation, and formatting of
 * values.
 */
import { isIP } from 'node:net'

export type AnswerValue = string | number | boolean | string[]

export type AnswerType = {
  /** Description of the accepted values, for the prompt and the table of questions. */
  expected: string
  /** The only possible values, when the answer is a choice. */
  choices?: readonly string[]
  isMultiple?: boolean
  isBoolean?: boolean
  /** Converts typed text to a value; for invalid text the value does not pass validate. */
  parse: (text: string) => AnswerValue
  /** Message about what is wrong with the value; undefined when it is valid. */
  validate: (value: unknown) => string | undefined
}

export const formatValue = (value: unknown): string => {
  if (Array.isArray(value)) return value.map(formatValue).join(', ')
  if (typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean') return String(value)
  return JSON.stringify(value) ?? 'nothing'
}

const NAME = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/
const HOST = /^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$/i
const PATH = /^\/[^\s?#]*$/

const textType = (expected: string, isValid: (value: string) => boolean): AnswerType => ({
  expected,
  parse: text => text.trim(),
  validate: value => typeof value === 'string' && isValid(value) ? undefined : `must be ${expected}, but is ${formatValue(value)}`
})

export const nameType = textType('a name of 1 to 63 lower-case letters, digits and hyphens', value => NAME.test(value))
export const hostNameType = textType('a host name without port', value => HOST.test(value))
export const addressType = textType('an IP address', value => isIP(value) !== 0)
export const targetIdType = textType('1 to 128 characters without spaces', value => /^\S{1,128}$/.test(value))
export const pathType = textType('a path that begins with /', value => PATH.test(value))

const isPatternSegment = (segment: string, isLast: boolean): boolean =>
  !segment.includes('*') || segment === '*' || (segment === '**' && isLast)

export const patternType = textType('a path that begins with /, with * for one whole segment and ** only as the last segment', value =>
  PATH.test(value) && value.split('/').every((segment, index, all) => isPatternSegment(segment, index === all.length - 1)))

type Range = { min?: number, above?: number, max?: number, below?: number }

const isInRange = (value: number, { min = -Infinity, above = -Infinity, max = Infinity, below = Infinity }: Range): boolean =>
  value >= min && value > above && value <= max && value < below

const describeRange = ({ min, above, max, below }: Range): string => [
  min === undefined ? undefined : `from ${min}`,
  above === undefined ? undefined : `above ${above}`,
  max === undefined ? undefined : `up to ${max}`,
  below === undefined ? undefined : `below ${below}`
].filter(Boolean).join(' ')

const numericType = (noun: string, isKind: (value: number) => boolean, range: Range): AnswerType => {
  const expected = `${noun} ${describeRange(range)}`
  return {
    expected,
    parse: text => text.trim() === '' ? Number.NaN : Number(text.trim()),
    validate: value => typeof value === 'number' && isKind(value) && isInRange(value, range)
      ? undefined
      : `must be ${expected}, but is ${formatValue(value)}`
  }
}

export const integerType = (range: Range): AnswerType => numericType('a whole number', Number.isSafeInteger, range)
export const numberType = (range: Range): AnswerType => numericType('a number', Number.isFinite, range)

export const booleanType: AnswerType = {
  expected: 'true or false',
  isBoolean: true,
  parse: text => /^(y|yes|true)$/i.test(text.trim()),
  validate: value => typeof value === 'boolean' ? undefined : `must be true or false, but is ${formatValue(value)}`
}

export const choiceType = (choices: readonly string[]): AnswerType => ({
  ...textType(`one of ${choices.join(', ')}`, value => choices.includes(value)),
  choices
})

/** @param countMin minimum number of items */
export const listType = (item: AnswerType, countMin: number): AnswerType => ({
  expected: `a list${countMin > 0 ? ` of at least ${countMin}` : ''}, each ${item.expected}`,
  choices: item.choices,
  isMultiple: true,
  parse: text => text.split(/[\s,]+/).filter(part => part !== ''),
  validate: value => {
    if (!Array.isArray(value)) return `must be a list, but is ${formatValue(value)}`
    if (value.length < countMin) return `must have at least ${countMin} item${countMin === 1 ? '' : 's'}`
    const faults = value.map((entry, index) => ({ index, fault: item.validate(entry) })).filter(({ fault }) => fault)
    return faults.length > 0 ? faults.map(({ index, fault }) => `item ${index + 1} ${fault}`).join('; ') : undefined
  }
})
