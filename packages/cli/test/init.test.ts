/**
 * Guards against lost answers, against files that are overwritten without
 * --force, and against an interview that accepts answers that check refuses.
 */
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import test from 'ava'
import { parse } from 'yaml'
import { checkAnswers } from '@wisteriavalve/questionnaire'
import { createFolder, EXAMPLE, runBinary, runInteractive, writeAnswers } from './support.js'

const read = (file: string): any => parse(readFileSync(file, 'utf8'))

const FIRST_RUN = [
  { question: 'What is the fleet called?', type: 'No Name\r' },
  { question: '> must be a name', type: '\u0015demo\r' },
  { question: 'In which region', type: 'north\r' },
  { question: 'Which availability zones', type: 'a-1, a-2\r' },
  { question: 'What is the service called?', type: 'shop\r' },
  { question: 'What is the kind of request called?', type: 'read\r' },
  { question: 'Which paths belong to the kind', type: '/shop/**\r' }
]

test('an interview that answers only the questions without a default writes a valid file', async t => {
  const file = join(createFolder(), 'a.yaml')
  const { code, stdout } = await runInteractive(['init', file], FIRST_RUN)
  t.is(code, 0, stdout)
  t.regex(stdout, /must be a name/)
  t.is(checkAnswers(readFileSync(file, 'utf8')).state, 'valid')
  const { fleet, zones, entryVms, services } = read(file)
  t.deepEqual([fleet, zones, entryVms.count, services[0].pathPrefix], ['demo', ['a-1', 'a-2'], 20, '/shop'])
  t.deepEqual(services[0].kinds[0].methods, ['GET', 'HEAD'])
  t.regex(readFileSync(file, 'utf8'), /# What is the fleet called\?\nfleet: demo/)
})

test('earlier answers are proposed, and changes to them are written', async t => {
  const file = join(createFolder(), 'a.yaml')
  const { code } = await runInteractive(['init', file, '--from', EXAMPLE], [
    { question: 'How many entry VMs run', type: '16\r' },
    { question: 'The service orderdesk', type: '\u001b[B\r' },
    { question: 'How many requests can one target', type: '8\r' }
  ])
  t.is(code, 0)
  const before = read(EXAMPLE)
  before.entryVms.count = 16
  before.services[1].slotsPerTarget = 8
  const after = read(file)
  t.like(after.services[1], before.services[1])
  t.deepEqual([after.entryVms, after.services[0], after.services[2]], [before.entryVms, before.services[0], before.services[2]])
})

test('questions with faults are asked again until the answers are consistent', async t => {
  const file = join(createFolder(), 'a.yaml')
  const { code, stdout } = await runInteractive(['init', file, '--from', EXAMPLE], [
    { question: 'How many entry VMs run', type: '400\r' },
    { question: 'How many connections', type: '500\r' },
    { question: 'How many connections', type: '501\r' },
    { question: 'How many connections', type: '502\r' }
  ])
  t.is(code, 0, stdout)
  t.regex(stdout, /leave none for each/)
  t.deepEqual(read(file).services.map((service: any) => service.connectionsPerTarget), [500, 501, 502])
})

test('Ctrl-C saves the answers given so far and prints the file, and --from continues with them', async t => {
  const folder = createFolder()
  const file = join(folder, 'a.yaml')
  const { code, stderr } = await runInteractive(['init', file], [...FIRST_RUN.slice(0, 4), { question: 'How many entry VMs run', type: '\u0003' }])
  t.is(code, 130)
  t.regex(stderr, /^3 answers saved to .*a\.yaml\.partial; continue with:/)
  t.deepEqual(readdirSync(folder), ['a.yaml.partial'])
  t.deepEqual(read(`${file}.partial`), { format: 1, fleet: 'demo', region: 'north', zones: ['a-1', 'a-2'] })
  const again = await runInteractive(['init', file, '--from', `${file}.partial`], FIRST_RUN.slice(4))
  t.is(again.code, 0)
  t.is(read(file).fleet, 'demo')
  const interrupted = await runInteractive(['init', file, '--force'], [{ question: 'What is the fleet called?', type: '\u0003' }])
  t.is(interrupted.code, 130)
  t.true(existsSync(`${file}.partial-2`))
})

test('an existing file stays unchanged without --force', async t => {
  const file = join(createFolder(), 'a.yaml')
  writeFileSync(file, 'mine')
  const refused = await runBinary(['init', file, '--answers', EXAMPLE])
  t.is(refused.code, 4)
  t.regex(refused.stderr, /^error WV-5003 output-failed: .*exists already; add --force/)
  t.is(readFileSync(file, 'utf8'), 'mine')
  t.is((await runBinary(['init', file, '--answers', EXAMPLE, '--force'])).code, 0)
  t.is(read(file).fleet, 'okonkwo')
})

test('--answers asks no questions, keeps comments, adds defaults and refuses faults', async t => {
  const file = join(createFolder(), 'a.yaml')
  const taken = await runBinary(['init', file, '--answers', EXAMPLE, '--json'])
  t.deepEqual([taken.code, JSON.parse(taken.stdout)], [0, { file, warnings: [] }])
  t.regex(readFileSync(file, 'utf8'), /# Answers of Okonkwo Handleworks/)
  t.is(read(file).services[0].kinds[0].boundedBy, 'deadline')
  const other = join(createFolder(), 'b.yaml')
  const faulty = await runBinary(['init', other, '--answers', writeAnswers(answers => { answers.fleet = 'No Name' })])
  t.is(faulty.code, 1)
  t.regex(faulty.stderr, /question fleet: What is the fleet called\?/)
  t.false(existsSync(other))
  t.is((await runBinary(['init', other, '--answers', EXAMPLE, '--from', EXAMPLE])).code, 2)
})
