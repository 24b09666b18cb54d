/** Guards against requests that run after a refusal, are lost or run too late, and against light requests that displace heavy ones. */
import test from 'ava'
import fc from 'fast-check'
import { createAdmission, type Refusal } from '../src/index.js'
import { assertProperty } from './property.js'

type RequestRecord = { runs: number, refusals: Refusal['result'][], ranAtMs?: number, deadlineMs: number, cancelled: boolean }

const createFixture = (capacity: number, queueLengthMax = 100) => {
  const admission = createAdmission({ queueLengthMax, capacity: () => capacity })
  const records = new Map<string, RequestRecord>()
  const order: string[] = []
  const clock = { nowMs: 0 }
  const start = (id: string): void => {
    const record = records.get(id) as RequestRecord
    record.runs++
    record.ranAtMs = clock.nowMs
    order.push(id)
  }
  const offer = (id: string, weight: number, deadlineMs: number): string => {
    const record: RequestRecord = { runs: 0, refusals: [], deadlineMs, cancelled: false }
    records.set(id, record)
    const outcome = admission.offer({ id, weight, deadlineMs, run: () => start(id), refuse: ({ result }) => record.refusals.push(result) }, clock.nowMs)
    if (outcome.decision === 'run') start(id)
    if (outcome.decision === 'refused') record.refusals.push(outcome.refusal.result)
    return outcome.decision
  }
  return { admission, records, order, clock, offer }
}

test('property: each request runs in time, is refused or waits, exactly one of them, within the capacity', t => {
  const step = fc.record({
    type: fc.constantFrom('offer', 'offer', 'offer', 'release', 'expire', 'cancel', 'pause'),
    weight: fc.integer({ min: 1, max: 4 }),
    slackMs: fc.integer({ min: 0, max: 300 }),
    passMs: fc.integer({ min: 0, max: 30 }),
    pick: fc.nat()
  })
  assertProperty(t, fc.property(fc.integer({ min: 1, max: 4 }), fc.array(step, { maxLength: 120 }), (capacity, steps) => {
    const { admission, records, clock, offer } = createFixture(capacity, 10)
    for (const [index, { type, weight, slackMs, passMs, pick }] of steps.entries()) {
      clock.nowMs += type === 'pause' ? 5000 : passMs
      if (type === 'offer') offer(`r${index}`, weight, clock.nowMs + slackMs)
      if (type === 'release' && admission.runningCount() > 0) admission.release(20, clock.nowMs)
      if (type === 'expire' || type === 'pause') admission.expire(clock.nowMs)
      const id = `r${pick % (index + 1)}`
      const record = records.get(id)
      if (type === 'cancel' && record && admission.cancel(id)) record.cancelled = true
      const ended = (entry: RequestRecord): number => entry.runs + entry.refusals.length + (entry.cancelled ? 1 : 0)
      const all = [...records.values()]
      if (all.some(entry => ended(entry) > 1)) return false
      if (all.some(entry => entry.ranAtMs !== undefined && entry.ranAtMs >= entry.deadlineMs)) return false
      if (all.filter(entry => ended(entry) === 0).length !== admission.queuedCount()) return false
      if (admission.runningCount() > capacity || admission.queuedCount() > 10) return false
    }
    return true
  }), 1000)
})

test('the heaviest class is served first, then the earliest deadline', t => {
  const { admission, order, offer } = createFixture(1)
  offer('running', 1, 1000)
  offer('light', 1, 900)
  offer('late', 5, 1000)
  offer('early', 5, 800)
  for (let count = 0; count < 3; count++) admission.release(1, 10)
  t.deepEqual(order, ['running', 'early', 'late', 'light'])
})

test('a request that cannot be served before its deadline is refused at once', t => {
  const { admission, clock, records, offer } = createFixture(1)
  offer('first', 1, 1000)
  admission.release(50, 0)
  offer('running', 1, 1000)
  t.is(offer('hopeless', 1, 60), 'refused')
  t.is(offer('possible', 1, 1000), 'queued')
  t.deepEqual(records.get('hopeless')?.refusals, ['deadline-unreachable'])
  clock.nowMs = 5000
  admission.expire(5000)
  admission.release(50, 5000)
  t.deepEqual(records.get('possible')?.refusals, ['deadline-passed-in-queue'])
  t.is(records.get('possible')?.runs, 0)
})

test('a queued request close to its deadline is served ahead of heavier ones', t => {
  const { admission, clock, order, offer } = createFixture(1)
  offer('first', 1, 1000)
  admission.release(20, 0)
  offer('running', 1, 1000)
  offer('light', 1, 200)
  offer('heavy', 9, 1000)
  clock.nowMs = 145
  admission.release(20, 145)
  t.deepEqual(order, ['first', 'running', 'light'])
})

test('a full queue accepts only requests that are heavier than one in the queue', t => {
  const { records, offer } = createFixture(1, 2)
  offer('running', 1, 1000)
  offer('a', 2, 900)
  offer('b', 2, 800)
  t.is(offer('light', 1, 1000), 'refused')
  t.is(offer('heavy', 3, 1000), 'queued')
  t.deepEqual(records.get('a')?.refusals, ['queue-full'])
})

test('at three times the capacity the heavy class is served and light requests are refused at once', t => {
  const { admission, records, clock, offer } = createFixture(2)
  const served = { heavy: 0, light: 0 }
  const endTimesMs: number[] = []
  for (let nowMs = 0; nowMs < 20_000; nowMs++) {
    clock.nowMs = nowMs
    while ((endTimesMs[0] ?? Infinity) <= nowMs) {
      endTimesMs.shift()
      admission.release(20, nowMs)
    }
    // The capacity is 0.1 requests per ms; heavy requests use half of it.
    if (nowMs % 20 === 0 && nowMs < 19_000) offer(`heavy-${nowMs}`, 9, nowMs + 400)
    if (nowMs % 4 === 0 && nowMs < 19_000) offer(`light-${nowMs}`, 1, nowMs + 400)
    while (endTimesMs.length < admission.runningCount()) endTimesMs.push(nowMs + 20)
  }
  for (const [id, { runs }] of records) served[id.startsWith('heavy') ? 'heavy' : 'light'] += runs
  const lateRefusals = [...records.values()].filter(({ refusals }) => refusals.includes('deadline-passed-in-queue')).length
  t.is(served.heavy, 950)
  t.true(served.light > 850, `${served.light} light requests served`)
  t.true(lateRefusals < 40, `${lateRefusals} refused after they waited`)
})
