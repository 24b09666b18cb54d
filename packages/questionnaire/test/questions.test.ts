/**
 * Guards against questions that differ from the schema of the answers or from
 * their page, and against defaults that do not pass their own validation.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { isRequired, QUESTIONS, questionPath, renderQuestionsPage } from '../src/index.js'

const readText = (path: string): string => readFileSync(fileURLToPath(new URL(`../../../../${path}`, import.meta.url)), 'utf8')

type Schema = { $ref?: string, type?: string, properties?: Record<string, Schema>, required?: readonly string[], items?: Schema, definitions?: Record<string, Schema> }

const [answersSchema, configurationSchema] = ['answers', 'configuration']
  .map(name => JSON.parse(readText(`packages/schema/schemas/${name}.schema.json`)) as Schema) as [Schema, Schema]

const resolve = (schema: Schema): Schema => {
  const [, document, name] = /^(\w*)#\/definitions\/(\w+)$/.exec(schema.$ref ?? '') ?? []
  if (name === undefined) return schema
  return (document === 'configuration' ? configurationSchema : answersSchema).definitions?.[name] ?? {}
}

/** Path of each value in the schema and whether it is required; a list of simple values counts as one value. */
const schemaPaths = (schema: Schema, path: string, required: boolean): [string, boolean][] => {
  const { properties, items, required: names = [] } = resolve(schema)
  if (properties) return Object.entries(properties).flatMap(([name, part]) => schemaPaths(part, path === '' ? name : `${path}.${name}`, required && names.includes(name)))
  if (items && resolve(items).properties) return schemaPaths(items, `${path}[]`, true)
  return [[path, required]]
}

test('there is a question for each value of the schema, required or optional as in the schema', t => {
  const expectedPaths = schemaPaths(answersSchema, '', true).filter(([path]) => path !== 'format').sort()
  t.deepEqual(QUESTIONS.map(question => [questionPath(question), isRequired(question)]).sort(), expectedPaths)
})

test('each default is a valid answer, and ids are unique', t => {
  for (const question of QUESTIONS) {
    const proposal = question.propose?.({})
    for (const value of [question.default, proposal]) t.true(value === undefined || question.type.validate(value) === undefined, question.id)
  }
  t.is(new Set(QUESTIONS.map(({ id }) => id)).size, QUESTIONS.length)
})

test('docs/questionnaire.md is up to date; write it with packages/questionnaire/scripts/questions-page.js', t => {
  t.is(readText('docs/questionnaire.md'), renderQuestionsPage())
})
