/**
 * Guards against a request that is sent to a cold target without a valid permit:
 * after a denial, with the answer of an owner of an earlier release, or because
 * the target became cold after it was chosen.
 */
import test from 'ava'
import type { PermitAnswer } from '@wisteriavalve/fleet'
import { call, createKind, createService, startBackend, startDaemon, type TestDaemon } from './support.js'
import './exit.js'

/** A daemon whose only target is cold. */
const startCold = async (answer: (statement: PermitAnswer['statement']) => PermitAnswer): Promise<TestDaemon & { ranCount: () => number, rates: Array<number | undefined> }> => {
  let ranCount = 0
  const port = await startBackend((_req, res) => {
    ranCount++
    res.end('done')
  })
  const service = createService([port], { kinds: [createKind({ deadlineMs: 2_000, objectiveMs: 2_000 })], warmupMs: 3_000, warmupRatePerS: 3.4 })
  const daemon = await startDaemon([service])
  daemon.fleet.setTargets(service.name, { targets: service.targets.map(target => ({ ...target, warmupLeftMs: 60_000 })), leavingIds: [] })
  const rates: Array<number | undefined> = []
  daemon.fleet.answerPermit = async ({ statement, warmupRatePerS }) => {
    rates.push(warmupRatePerS)
    return answer(statement)
  }
  return { ...daemon, ranCount: () => ranCount, rates }
}

test('a request to a cold target is sent with a permit for the rate of its service', async t => {
  const daemon = await startCold(statement => ({ decision: 'granted', delayMs: 0, isWarmup: true, statement }))
  t.is((await call(daemon.port)).status, 200)
  t.deepEqual(daemon.rates, [3.4])
  t.true(daemon.lines.some(line => line.includes('target_warmup') && line.includes('cold')))
})

test('a request waits for the time of its permit', async t => {
  const daemon = await startCold(statement => ({ decision: 'granted', delayMs: 300, isWarmup: true, statement }))
  const startMs = performance.now()
  t.is((await call(daemon.port)).status, 200)
  t.true(performance.now() - startMs >= 295)
})

test('answers of owners of an earlier release, denials and failures permit nothing', async t => {
  const answers: Array<(statement: PermitAnswer['statement']) => PermitAnswer> = [
    statement => ({ decision: 'granted', delayMs: 0, statement }),
    statement => ({ decision: 'unlimited', statement }),
    statement => ({ decision: 'denied', retryAfterMs: 5_000, statement }),
    () => { throw new Error('no owner') }
  ]
  for (const answer of answers) {
    const daemon = await startCold(answer)
    const response = await call(daemon.port, { headers: { 'x-request-timeout-ms': '400' } })
    t.is(response.status, 503)
    t.is(daemon.ranCount(), 0)
  }
})

test('a permit that has expired before the request is written is not used', async t => {
  const daemon = await startCold(statement => ({ decision: 'granted', delayMs: -60_000, isWarmup: true, statement }))
  t.not((await call(daemon.port, { headers: { 'x-request-timeout-ms': '400' } })).status, 200)
  t.is(daemon.ranCount(), 0)
})
