/**
 * Guards against a checker that would pass a run with repeated, foreign or
 * truncated requests, and against a load that differs between equal seeds.
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

test('equal seeds give equal arrivals', t => {
  t.deepEqual(planArrivals(OPTIONS), planArrivals(OPTIONS))
  t.notDeepEqual(planArrivals(OPTIONS), planArrivals({ ...OPTIONS, seed: 8 }))
})

test('a clean run has no findings', async t => {
  const record = createRunRecord()
  const backend = await createBackend({ id: 'b', slots: 100, seed: 1, serviceTimeMs: 2 }, record.add)
  t.teardown(backend.kill)
  const outcomes = await startLoad({ ...OPTIONS, entryAddresses: [backend] }).done
  const verdict = checkRun(outcomes, record)
  t.true(verdict.requests > 150)
  t.is(verdict.inTime, verdict.requests)
  t.like(verdict, { repeated: 0, foreign: 0, truncated: 0, lateAfterDrain: 0, notRun: 0, outcomeUnknown: 0, lostIdempotent: 0 })
})

test('each kind of violation is found', t => {
  const record = createRunRecord()
  const at = { serverId: 'b', timeMs: 0 }
  const outcome = (changes: Partial<CallOutcome>): CallOutcome => ({
    requestId: 'x', service: 's', kind: 'k', idempotent: true, weight: 1, result: 'in-time', status: 200, latencyMs: 1, attemptMs: 1, endedMs: 0, attempts: 1, ...changes
  })
  record.add({ type: 'started', requestId: 'twice', ...at })
  record.add({ type: 'started', requestId: 'twice', ...at })
  record.add({ type: 'started', requestId: 'lied', ...at })
  record.add({ type: 'upload', requestId: 'u', complete: true, intact: false, sizeBytes: 1, ...at })
  record.add({ type: 'arrived-after-drain', requestId: 'l', afterDrainMs: 3001, ...at })
  const verdict = checkRun([
    outcome({ requestId: 'twice', idempotent: false }),
    outcome({ requestId: 'lied', result: 'not-run' }),
    outcome({ requestId: 'f', answer: 'foreign' }),
    outcome({ requestId: 't', answer: 'broken' })
  ], record)
  t.like(verdict, { repeated: 2, wronglyNotRun: 1, foreign: 1, truncated: 2, lateAfterDrain: 1 })
})
