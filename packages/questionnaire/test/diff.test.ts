/**
 * Guards against changes that diff misses, and against harmful changes that it
 * does not mark.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { parse } from 'yaml'
import type { Answers } from '@wisteriavalve/schema'
import { diffAnswers } from '../src/index.js'

const EXAMPLE: Answers = parse(readFileSync(fileURLToPath(new URL('../../../../examples/okonkwo.yaml', import.meta.url)), 'utf8'))

const diff = (change: (answers: any) => void) => {
  const after = structuredClone(EXAMPLE)
  change(after)
  return diffAnswers(EXAMPLE, after)
}

const lines = (change: (answers: any) => void): string[] =>
  diff(change).changes.map(({ subject, text, attention }) => `${attention ? '! ' : ''}${subject}: ${text}`)

test('equal answers and explicitly stated defaults are no change', t => {
  t.deepEqual(diff(answers => { answers.services[0].healthPath = '/health'; answers.services[1].pathPrefix = '/orderdesk' }),
    { changes: [], newValueCount: 0, unchangedValueCount: 8 })
})

test('each change states its subject, and changes that can harm requests are marked', t => {
  t.deepEqual(lines(answers => { answers.services[1].kinds[0].idempotent = true }), ['! service orderdesk, kind place-order: idempotent changes from false to true'])
  t.deepEqual(lines(answers => { answers.services[1].kinds[2].idempotent = false }), ['service orderdesk, kind order-state: idempotent changes from true to false'])
  t.deepEqual(lines(answers => { answers.entryVms.count = 16 }), ['! fleet: entryVmCountMax changes from 24 to 20'])
  t.deepEqual(lines(answers => { answers.services.pop() }), ['! service mediahall: is removed'])
  t.deepEqual(lines(answers => { answers.services[0].kinds.reverse() }), ['service stockview: the order of the kinds changes to stock-list-check, stock-check, catalogue-page'])
  t.deepEqual(lines(answers => { answers.services[0].kinds[0].name = 'page' }), ['service stockview, kind page: is new: GET, HEAD /stockview/catalogue/**, idempotent', '! service stockview, kind catalogue-page: is removed'])
  t.deepEqual(lines(answers => { answers.services[0].targets = [{ id: 'a', host: '10.0.0.1', port: 1, zone: 'lagos-a' }] }), ['service stockview, target a: is new: 10.0.0.1 port 1 in lagos-a'])
})

test('every field that differs is reported as a change with an effect', t => {
  const { changes, newValueCount } = diff(answers => {
    answers.configurationServiceRestoreCount = 1
    answers.measuring = { probesPerTargetPerS: 2, cpuPercent: 2 }
    Object.assign(answers.services[0], { slotsPerTarget: 5, connectionsPerTarget: 290, trustsReuse: true, warmupMs: 3_000, warmupRatePerS: 3.4, defaultDeadlineMs: 900, hosts: ['a.example'], healthPath: '/h', pathPrefix: '/' })
    Object.assign(answers.services[0].kinds[0], { methods: ['GET'], path: '/x/**', deadlineMs: 700, weight: 9, bodyBytesMax: 1, boundedBy: 'progress', objective: { inTimePercent: 90, windowDays: 1 } })
  })
  t.is(changes.length, 19)
  for (const { effect, subject, field } of changes) t.not(effect, '', `${subject} ${field}`)
  t.is(newValueCount, 4)
})
