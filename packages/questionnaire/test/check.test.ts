/**
 * Guards against faulty answers that pass the check, against a check that
 * stops at the first fault or crashes on unexpected input, and against findings
 * with the wrong line or question.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import fc from 'fast-check'
import { parse, parseDocument, stringify } from 'yaml'
import { checkAnswers, isRequired, QUESTIONS, questionPath, type Finding } from '../src/index.js'

const EXAMPLE = readFileSync(fileURLToPath(new URL('../../../../examples/okonkwo.yaml', import.meta.url)), 'utf8')

const edit = (change: (answers: any) => void): string => {
  const answers = parse(EXAMPLE)
  change(answers)
  return stringify(answers)
}

const formatFinding = ({ severity, path, message }: Finding): string => `${severity} ${path}: ${message}`
const findingTexts = (text: string): string[] => checkAnswers(text).findings.map(formatFinding)

const TARGET = { id: 'a', host: '10.0.0.1', port: 9000, zone: 'lagos-a' }

/** Name of the fault, the change that causes it, and the expected text of the only finding. */
const CASES: [string, (answers: any) => void, RegExp][] = [
  ['equal service names', a => { a.services[1].name = 'stockview'; a.services[1].pathPrefix = '/orderdesk' }, /^fault services\[1\]\.name: .*already used at services\[0\]\.name/],
  ['equal kind names', a => { a.services[0].kinds[1].name = 'catalogue-page' }, /^fault services\[0\]\.kinds\[1\]\.name: .*already/],
  ['equal path prefixes', a => { a.services[1].pathPrefix = '/stockview/'; a.services[1].hosts = ['orders.example'] }, /^fault services\[1\]\.pathPrefix: .*already/],
  ['nested path prefixes', a => { a.services[2].pathPrefix = '/stockview/media'; a.services[2].hosts = ['media.example'] }, /^warning services\[2\]\.pathPrefix: .*longer prefix/],
  ['equal hosts', a => { a.services[0].hosts = ['a.example']; a.services[1].hosts = ['A.example'] }, /^fault services\[1\]\.hosts\[0\]: .*already/],
  ['shadowed kind', a => { a.services[1].kinds[0].path = '/orderdesk/**'; a.services[1].kinds[1].path = '/orderdesk/payments' }, /^fault services\[1\]\.kinds\[1\]\.path: no request can match/],
  ['partly shadowed kind', a => { a.services[0].kinds[0].path = '/stockview/*/x/**'; a.services[0].kinds[1].path = '/stockview/stock/*/y' }, /^warning services\[0\]\.kinds\[1\]\.path: some GET and HEAD/],
  ['kind outside its prefix', a => { a.services[0].kinds[0].path = '/elsewhere/**' }, /^fault services\[0\]\.kinds\[0\]\.path: .*outside/],
  ['reserved kind name', a => { a.services[0].kinds[0].name = 'unknown' }, /^fault .*reserved/],
  ['** inside a pattern', a => { a.services[0].kinds[0].path = '/stockview/**/x' }, /^fault services\[0\]\.kinds\[0\]\.path: must be a path/],
  ['target in an unknown zone', a => { a.services[0].targets = [{ ...TARGET, zone: 'kgn-a' }] }, /^fault services\[0\]\.targets\[0\]\.zone: .*not among/],
  ['equal target ids', a => { a.services[0].targets = [TARGET, { ...TARGET, port: 9001 }] }, /^fault services\[0\]\.targets\[1\]\.id: .*already/],
  ['equal target addresses', a => { a.services[0].targets = [TARGET, { ...TARGET, id: 'b' }] }, /^fault services\[0\]\.targets\[1\]: .*already/],
  ['host name as address', a => { a.services[0].targets = [{ ...TARGET, host: 'stock.example' }] }, /^fault .*host: must be an IP address/],
  ['connection share of 0', a => { a.services[0].connectionsPerTarget = 23 }, /^fault services\[0\]\.connectionsPerTarget: .*at least 24/],
  ['trust in targets that do not echo request ids', a => { a.services[0].trustsReuse = true }, /^warning services\[0\]\.trustsReuse: .*caller of another request/],
  ['probe budget too low to be useful', a => { a.measuring.probesPerTargetPerS = 0.001 }, /^fault measuring\.probesPerTargetPerS: .*too rare to be useful/],
  ['probe rate above the CPU budget', a => {
    a.measuring = { probesPerTargetPerS: 100, cpuPercent: 0.1 }
    a.services[0].targets = Array.from({ length: 10 }, (_, index) => ({ ...TARGET, id: `t${index}`, port: 9000 + index }))
  }, /^fault measuring\.probesPerTargetPerS: .*allows about 66/],
  ['deadline too short for any response', a => { a.services[0].kinds[1].deadlineMs = 5 }, /^fault services\[0\]\.kinds\[1\]\.deadlineMs: .*at least 10/],
  ['large upload bounded by a deadline', a => { a.services[2].kinds[0].boundedBy = 'deadline' }, /^warning services\[2\]\.kinds\[0\]\.deadlineMs: .*progress/],
  ['value above the limit', a => { a.measuring.probesPerTargetPerS = 0.01; a.services[0].targets = Array.from({ length: 20000 }, (_, index) => ({ ...TARGET, id: `t${index}`, port: 1 + index })) }, /^fault services\[0\]: .*accepts at most 1000000/],
  ['value near the limit', a => { a.measuring.probesPerTargetPerS = 0.01; a.services[0].targets = Array.from({ length: 5000 }, (_, index) => ({ ...TARGET, id: `t${index}`, port: 1 + index })) }, /^warning services\[0\]: .*accepts at most 1000000/],
  ['unknown field', a => { a.services[0].retries = 3 }, /^fault services\[0\]: has the unknown field retries/],
  ['missing part', a => { delete a.measuring }, /^fault measuring: is missing/],
  ['service that is not a mapping', a => { a.services.push(null) }, /^fault services\[3\]: must be object/]
]

for (const [name, change, expected] of CASES) {
  test(`found: ${name}`, t => {
    const found = findingTexts(edit(change))
    t.is(found.length, 1, found.join('\n'))
    t.regex(found[0] ?? '', expected)
  })
}

test('each required answer that is missing is reported with its question', t => {
  for (const question of QUESTIONS.filter(question => isRequired(question) && question.scope !== 'target')) {
    const text = edit(answers => {
      const parts = questionPath(question).replaceAll('[]', '.0').split('.')
      const last = parts.pop() as string
      delete parts.reduce((value, part) => value[part], answers)[last]
    })
    const finding = checkAnswers(text).findings.find(({ message }) => message === 'is missing')
    t.is(finding?.questionId, question.id, questionPath(question))
  }
})

test('all faults are found in one run, in line order, with line and column', t => {
  const text = EXAMPLE.replace('deadlineMs: 800', 'deadlineMs: soon').replace('slotsPerTarget: 4', 'slotsPerTarget: 0').replace('path: /stockview/stock/**', 'path: /stockview/catalogue/x')
  const checked = checkAnswers(text)
  t.deepEqual(checked.findings.map(({ path }) => path), ['services[0].slotsPerTarget', 'services[0].kinds[0].deadlineMs', 'services[0].kinds[1].path'])
  const lines = text.split('\n')
  for (const { place, path } of checked.findings) {
    t.true(lines[(place?.line ?? 0) - 1]?.slice((place?.column ?? 0) - 1).startsWith(path.split('.').at(-1) as string))
  }
})

test('a YAML syntax error is reported with line and column', t => {
  for (const [text, line, column] of [['format: 1\nfleet: [a\nregion: b\n', 3, 1], ['a: 1\na: 2\n', 2, 1]] as const) {
    const checked = checkAnswers(text)
    t.is(checked.state, 'unreadable')
    t.deepEqual(checked.findings[0]?.place, { line, column })
  }
  t.deepEqual(findingTexts(''), ['fault : the file is empty'])
  t.deepEqual(findingTexts('- 1'), ['fault : must be a mapping of questions to answers'])
})

const allPaths = (value: unknown, path: (string | number)[] = []): (string | number)[][] =>
  typeof value !== 'object' || value === null
    ? [path]
    : [path, ...Object.entries(value).flatMap(([key, part]) => allPaths(part, [...path, Array.isArray(value) ? Number(key) : key]))]

test('a value of a wrong type is a fault and never a crash, whatever its path', t => {
  const paths = allPaths(parse(EXAMPLE)).slice(1)
  const values = [null, {}, -1, 'Not Valid', [null], [[]], { a: 1 }]
  fc.assert(fc.property(fc.constantFrom(...paths), fc.constantFrom(...values), (path, value) => {
    const document = parseDocument(EXAMPLE)
    document.setIn(path, value)
    return checkAnswers(document.toString()).state === 'faulty'
  }), { seed: 20261204, numRuns: 300 })
  t.pass()
})
