/**
 * Guards against requests that are sent to a target although their callers left
 * while this process was too busy to read them.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { call, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const CALLER = fileURLToPath(new URL('departing-caller.js', import.meta.url))
const LEAVE_AFTER_MS = 50
const CALLER_COUNT = 5

/** Keeps this process from handling events. */
const block = (blockMs: number): void => {
  const endMs = performance.now() + blockMs
  while (performance.now() < endMs) { /* no event is handled meanwhile */ }
}

for (const blockMs of [250, 400, 700]) {
  test.serial(`a request whose caller has left before it is read is not sent: the process was busy for ${blockMs} ms`, async t => {
    const paths: string[] = []
    const backend = await startBackend((req, res) => {
      paths.push(req.url ?? '')
      res.end('done')
    })
    const daemon = await startDaemon([createService([backend])])
    t.is((await call(daemon.port)).status, 200)
    const callers = Array.from({ length: CALLER_COUNT }, () => fork(CALLER, [String(daemon.port), String(LEAVE_AFTER_MS)]))
    await Promise.all(callers.map(caller => once(caller, 'message')))
    const exits = callers.map(caller => once(caller, 'exit'))
    for (const caller of callers) caller.send('/shop/left')
    await new Promise(resolve => { setImmediate(resolve) })
    block(blockMs)
    await Promise.all(exits)
    await new Promise(resolve => { setTimeout(resolve, 100) })
    t.deepEqual(paths.filter(path => path === '/shop/left'), [])
    t.is((await call(daemon.port)).status, 200)
  })
}
