/**
 * Guards against a checker that does not detect repeated, foreign or truncated
 * requests, and against load that differs between runs with the same seed.
 */
import test from 'ava'
import { createBackend, createRunRecord, checkRun, planArrivals, startLoad, type CallOutcome, type KindLoad, type LoadOptions } from '../src/index.js'

const READ: KindLoad = {
  service: 's', kind: 'read', method: 'GET', path: '/s/{n}', idempotent: true, deadlineMs: 1000, boundedBy: 'deadline', weight: 1, share: 8, bodyBytes: 0, uploadMs: 0
}
const UPLOAD: KindLoad = { ...READ, kind: 'upload', method: 'PUT', idempotent: false, boundedBy: 'progress', weight: 3, share: 1, bodyBytes: 300_000, uploadMs: 50 }

const OPTIONS: LoadOptions = {
  kinds: [READ, UPLOAD], ratePerS: 200, durationMs: 1000, requestsMax: 500, seed: 7, callerCount: 20, entryAddresses: [], shouldFetchAddresses: false
}

test('arrivals are the same for the same seed and differ for another seed', t => {
  t.deepEqual(planArrivals(OPTIONS), planArrivals(OPTIONS))
  t.notDeepEqual(planArrivals(OPTIONS), planArrivals({ ...OPTIONS, seed: 8 }))
})

test('the checker reports no violations for a run without faults', async t => {
  const record = createRunRecord()
  const backend = await createBackend({ id: 'b', slots: 100, seed: 1, serviceTimeMs: 2 }, record.add)
  t.teardown(backend.kill)
  const outcomes = await startLoad({ ...OPTIONS, entryAddresses: [backend] }).done
  const verdict = checkRun(outcomes, record)
  t.true(verdict.requests > 150)
  t.is(verdict.inTime, verdict.requests)
  t.like(verdict, { repeated: 0, foreign: 0, truncated: 0, lateAfterDrain: 0, notRun: 0, outcomeUnknown: 0, lostIdempotent: 0 })
})

test('the checker reports each kind of violation', t => {
  const record = createRunRecord()
  const server = { serverId: 'b', timeMs: 0 }
  const outcome = (changes: Partial<CallOutcome>): CallOutcome => ({
    requestId: 'x', service: 's', kind: 'k', idempotent: true, weight: 1, result: 'in-time', status: 200, latencyMs: 1, attemptMs: 1, endedMs: 0, attempts: 1, ...changes
  })
  record.add({ type: 'started', requestId: 'twice', ...server })
  record.add({ type: 'started', requestId: 'twice', ...server })
  record.add({ type: 'started', requestId: 'lied', ...server })
  record.add({ type: 'upload', requestId: 'u', complete: true, intact: false, sizeBytes: 1, ...server })
  record.add({ type: 'arrived-after-drain', requestId: 'l', afterDrainMs: 3001, ...server })
  const verdict = checkRun([
    outcome({ requestId: 'twice', idempotent: false }),
    outcome({ requestId: 'lied', result: 'not-run' }),
    outcome({ requestId: 'f', answer: 'foreign' }),
    outcome({ requestId: 't', answer: 'broken' })
  ], record)
  t.like(verdict, { repeated: 2, wronglyNotRun: 1, foreign: 1, truncated: 2, lateAfterDrain: 1 })
})
