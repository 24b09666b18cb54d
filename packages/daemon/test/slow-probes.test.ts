/**
 * Guards against a request that probes one target after the other until its
 * deadline, because probe responses are late. That happens if this VM or the
 * targets lack processor time.
 */
import test from 'ava'
import type { Kind } from '@wisteriavalve/schema'
import { call, createKind, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const TARGET_COUNT = 24
/** Delay of the health response, longer than the timeout of a probe. */
const LATE_MS = 60
const OBJECTIVE_MS = 400
/** After this time no earlier observation of a target counts as fresh. */
const STALE_AFTER_MS = 300

test('a request is sent within its objective although no target answers a probe in time', async t => {
  let healthDelayMs = 0
  const ports = await Promise.all(Array.from({ length: TARGET_COUNT }, () => startBackend((req, res) => {
    if (req.url === '/health') setTimeout(() => res.end('ok'), healthDelayMs)
    else res.end('done')
  })))
  const kinds: [Kind] = [createKind({ deadlineMs: 2000, objectiveMs: OBJECTIVE_MS })]
  const daemon = await startDaemon([createService(ports, { kinds })], { probesBeforeAttempt: true, probesPerTargetPerS: 1000 })
  // Warm-up: the first requests take longer, since their code is not compiled yet.
  for (let count = 0; count < 3; count++) t.is((await call(daemon.port)).body, 'done')
  healthDelayMs = LATE_MS
  await new Promise(resolve => { setTimeout(resolve, STALE_AFTER_MS) })
  const startMs = performance.now()
  t.is((await call(daemon.port)).body, 'done')
  const durationMs = performance.now() - startMs
  t.true(durationMs < OBJECTIVE_MS, `${Math.round(durationMs)} ms`)
})
