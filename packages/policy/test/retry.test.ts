/** Guards against retries of requests that must not run twice, and against retries that multiply the load. */
import test from 'ava'
import fc from 'fast-check'
import { createRandom, type Random } from '@wisteriavalve/common'
import { createRetryBudget, planHedge, planRetry, splitRetryAllowance, type AttemptFailure, type HedgeState, type RetryState } from '../src/index.js'
import { assertProperty } from './property.js'

const state: RetryState = { idempotent: true, isBodyReplayable: true, hasResponseStarted: false, deadlineMs: 100, attempts: 1, allowance: 2 }
const failures: AttemptFailure[] = ['connect-failed', 'refused', 'reset', 'timeout', 'no-progress', 'error-status', 'cancelled']

test('a non-idempotent request is retried only after a failure that confirms it did not run', t => {
  for (const failure of failures) {
    const notRun = failure === 'connect-failed' || failure === 'refused'
    const expected = notRun ? { decision: 'retry' } : { decision: 'give-up', resultClass: 'outcome-unknown' }
    t.deepEqual(planRetry({ ...state, idempotent: false }, failure, 0), expected as never, failure)
    t.is(planRetry(state, failure, 0).decision, failure === 'cancelled' ? 'give-up' : 'retry', failure)
  }
})

test('no retry after the deadline, after the response started, without allowance or without a replayable body', t => {
  for (const change of [{ isBodyReplayable: false }, { hasResponseStarted: true }, { allowance: 0 }, { attempts: 4 }]) {
    t.deepEqual(planRetry({ ...state, ...change }, 'refused', 0), { decision: 'give-up', resultClass: 'not-run' })
  }
  t.is(planRetry(state, 'refused', 100).decision, 'give-up')
})

/** Extra attempts in the tree below one call, where every attempt fails and calls one to three further services. */
const extraAttempts = (allowance: number, depth: number, random: Random): number => {
  if (depth === 0) return 0
  let kept = allowance
  let extra = 0
  for (let number = 0; number === 0 || kept >= 1; number++) {
    if (number > 0) {
      kept--
      extra++
    }
    const { forwarded, retained } = splitRetryAllowance(kept)
    kept = retained
    // The calls of one attempt share its allowance.
    let rest = forwarded
    for (let calls = 1 + random.int(3); calls > 0; calls--) {
      const part = calls === 1 ? rest : random.int(rest + 1)
      rest -= part
      extra += extraAttempts(part, depth - 1, random)
    }
  }
  return extra
}

test('property: a call tree of depth 9 makes at most as many extra attempts as the first allowance', t => {
  assertProperty(t, fc.property(fc.integer({ min: 0, max: 12 }), fc.integer(), (allowance, seed) =>
    extraAttempts(allowance, 9, createRandom(seed)) <= allowance), 100)
})

test('an allowance of 3 is used up when all attempts of a chain fail', t => {
  t.is(extraAttempts(3, 9, createRandom(1)), 3)
})

test('property: over 10 s retries stay within 10% or the floor, and hedges within 5%', t => {
  const step = fc.record({ passMs: fc.integer({ min: 0, max: 400 }), requests: fc.integer({ min: 0, max: 40 }), takes: fc.integer({ min: 0, max: 20 }), hedge: fc.boolean() })
  assertProperty(t, fc.property(fc.array(step, { maxLength: 120 }), steps => {
    const budget = createRetryBudget()
    const events: { atMs: number, type: 'request' | 'retry' | 'hedge' }[] = []
    let nowMs = 0
    const add = (type: 'request' | 'retry' | 'hedge'): void => { events.push({ atMs: nowMs, type }) }
    // Counts are kept in buckets of 0.5 s; the window is the current bucket and the 19 before it.
    const inWindow = (type: string): number =>
      events.filter(event => event.type === type && Math.floor(event.atMs / 500) > Math.floor(nowMs / 500) - 20).length
    for (const { passMs, requests, takes, hedge } of steps) {
      nowMs += passMs
      for (let count = 0; count < requests; count++) {
        budget.recordRequest(nowMs)
        add('request')
      }
      for (let count = 0; count < takes; count++) {
        if (!budget.tryTake(hedge ? 'hedge' : 'retry', nowMs)) continue
        add(hedge ? 'hedge' : 'retry')
        if (!hedge && inWindow('retry') > Math.max(10, 0.1 * inWindow('request'))) return false
        if (hedge && inWindow('hedge') > 0.05 * inWindow('request')) return false
      }
    }
    return true
  }))
})

test('a hedge is sent after the delay, once, for idempotent requests only, and within the budget', t => {
  const budget = createRetryBudget()
  const waiting: HedgeState = { idempotent: true, isBodyReplayable: true, hasFirstByte: false, isHedged: false, startedMs: 0, deadlineMs: 1000, allowance: 2 }
  t.deepEqual(planHedge(waiting, 50, budget, 0), { decision: 'wait', untilMs: 50 })
  t.deepEqual(planHedge(waiting, 50, budget, 50), { decision: 'none' })
  for (let count = 0; count < 100; count++) budget.recordRequest(50)
  for (let count = 0; count < 5; count++) t.deepEqual(planHedge(waiting, 50, budget, 50), { decision: 'hedge' })
  t.deepEqual(planHedge(waiting, 50, budget, 50), { decision: 'none' })
  for (const change of [{ idempotent: false }, { isBodyReplayable: false }, { isHedged: true }, { hasFirstByte: true }, { allowance: 0 }, { deadlineMs: 60 }]) {
    t.deepEqual(planHedge({ ...waiting, ...change }, 50, createRetryBudget(), 0), { decision: 'none' })
  }
})
