/**
 * Guards against a request that asks one target after the other for its load
 * until its time is over, because answers to probes are late: on a VM that is
 * short of processor time, or at targets that are.
 */
import test from 'ava'
import type { Kind } from '@wisteriavalve/schema'
import { call, kind, service, startBackend, startDaemon } from './support.js'
import './exit.js'

const TARGET_COUNT = 24
/** Longer than a probe waits. */
const LATE_MS = 60
const OBJECTIVE_MS = 400
/** After this time nothing that was learned before counts as fresh. */
const FORGET_MS = 300

test('a request is sent within its objective although no target answers a probe in time', async t => {
  let healthDelayMs = 0
  const ports = await Promise.all(Array.from({ length: TARGET_COUNT }, () => startBackend((req, res) => {
    if (req.url === '/health') setTimeout(() => res.end('ok'), healthDelayMs)
    else res.end('done')
  })))
  const kinds: [Kind] = [kind({ deadlineMs: 2000, objectiveMs: OBJECTIVE_MS })]
  const daemon = await startDaemon([service(ports, { kinds })], { asksBeforeUse: true, probesPerTargetPerS: 1000 })
  // The first requests take longer, since their code is not compiled yet.
  for (let count = 0; count < 3; count++) t.is((await call(daemon.port)).body, 'done')
  healthDelayMs = LATE_MS
  await new Promise(resolve => { setTimeout(resolve, FORGET_MS) })
  const startMs = performance.now()
  t.is((await call(daemon.port)).body, 'done')
  const durationMs = performance.now() - startMs
  t.true(durationMs < OBJECTIVE_MS, `${Math.round(durationMs)} ms`)
})
