/**
 * Guards against a request that asks for a permit again and again, one that waits
 * for a permit which cannot come in time, and one that is sent without a permit.
 */
import test from 'ava'
import { call, createKind, createService, startBackend, startDaemon, type TestDaemon } from './support.js'
import './exit.js'

const LIMIT_PER_S = 2

/** A daemon whose only target has stated a limit. Each permit query is counted. */
const startLimited = async (): Promise<TestDaemon & { ranCount: () => number, queryCount: () => number, answer: (answer: { retryAfterMs: number } | 'granted' | 'unlimited') => void }> => {
  let ranCount = 0
  let queryCount = 0
  const port = await startBackend((_req, res) => {
    ranCount++
    res.setHeader('x-request-limit-per-s', String(LIMIT_PER_S)).end('done')
  })
  const daemon = await startDaemon([createService([port], { kinds: [createKind({ deadlineMs: 4_000, objectiveMs: 4_000 })] })])
  await call(daemon.port)
  ranCount = 0
  const answer = (next: { retryAfterMs: number } | 'granted' | 'unlimited'): void => {
    daemon.fleet.answerPermit = async ({ statement }) => {
      queryCount++
      if (next === 'granted') return { decision: 'granted', delayMs: 0, statement }
      // The statement is older than what the node knows, so the node keeps its limit.
      if (next === 'unlimited') return { decision: 'unlimited', statement: { limitPerS: null, ageMs: 60_000 } }
      return { decision: 'denied', retryAfterMs: next.retryAfterMs, statement }
    }
  }
  return { ...daemon, ranCount: () => ranCount, queryCount: () => queryCount, answer }
}

test('a request whose permit comes too late is refused after one query, also if it could wait for more than a second', async t => {
  const daemon = await startLimited()
  daemon.answer({ retryAfterMs: 6_000 })
  const startMs = performance.now()
  const response = await call(daemon.port)
  t.like(response, { status: 503 })
  t.is(response.headers['x-result-code'], 'WV-1018')
  t.true(performance.now() - startMs < 500)
  t.is(daemon.queryCount(), 1)
  t.is(daemon.ranCount(), 0)
})

test('a request that is denied for a short time waits for that time before it asks again', async t => {
  const daemon = await startLimited()
  daemon.answer({ retryAfterMs: 100 })
  const response = call(daemon.port)
  await new Promise(resolve => { setTimeout(resolve, 1_050) })
  t.true(daemon.queryCount() >= 2 && daemon.queryCount() <= 12, `${daemon.queryCount()} queries in a second`)
  daemon.answer('granted')
  t.is((await response).status, 200)
})

test('a node asks again a second after a denial, so it finds that a limit has ended', async t => {
  const daemon = await startLimited()
  daemon.answer({ retryAfterMs: 60_000 })
  t.is((await call(daemon.port)).status, 503)
  t.is((await call(daemon.port)).status, 503)
  t.is(daemon.queryCount(), 1)
  daemon.answer('granted')
  await new Promise(resolve => { setTimeout(resolve, 1_050) })
  t.is((await call(daemon.port)).status, 200)
})

test('a request is sent after one query if the owner knows no limit and the node does', async t => {
  const daemon = await startLimited()
  daemon.answer('unlimited')
  t.is((await call(daemon.port)).status, 200)
  t.is(daemon.queryCount(), 1)
})

test('a query that fails denies the permit', async t => {
  const daemon = await startLimited()
  daemon.fleet.answerPermit = async () => { throw new Error('no owner') }
  t.is((await call(daemon.port, { headers: { 'x-request-timeout-ms': '500' } })).status, 503)
  t.is(daemon.ranCount(), 0)
})
