/**
 * Guards running requests against targets that are only slow to report: a
 * target that is missing from the list, or reported as leaving, has not stopped
 * its work. Its requests are neither given up nor started on another target.
 */
import test from 'ava'
import type { ServerResponse } from 'node:http'
import type { ServiceTargets } from '../src/types.js'
import { call, createDeferred, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

/** Shorter than half of the deadline, after which an idempotent request without a response may be retried. */
const RESPONSE_DELAY_MS = 700

const CHANGES: Record<string, (remaining: ServiceTargets['targets'], all: ServiceTargets['targets']) => ServiceTargets> = {
  'is removed from the list': remaining => ({ targets: remaining, leavingIds: ['t1'] }),
  'is reported as leaving': (_remaining, all) => ({ targets: all, leavingIds: ['t1'] }),
  'is missing from the list, as all others are': () => ({ targets: [], leavingIds: ['t1', 't2'] })
}

for (const [name, change] of Object.entries(CHANGES)) {
  for (const method of ['GET', 'POST']) {
    test(`the ${method} at a target that ${name} runs once, and its response is delivered`, async t => {
      let runs = 0
      const arrived = createDeferred<ServerResponse>()
      const listen = () => startBackend((req, res) => {
        req.resume()
        if (!req.url?.startsWith('/shop/held')) return res.end('other')
        runs++
        arrived.resolve(res)
      })
      const service = createService([await listen(), await listen()])
      const daemon = await startDaemon([service])
      const held = call(daemon.port, { method, path: '/shop/held', ...(method === 'POST' && { body: 'x' }) })
      const response = await arrived.promise
      const heldPort = response.socket?.localPort
      const all = service.targets.map((target, index) => ({ ...target, id: target.port === heldPort ? 't1' : `t${index + 1}` }))
      daemon.fleet.setTargets('shop', change(all.filter(({ port }) => port !== heldPort), all))
      setTimeout(() => response.end('done'), RESPONSE_DELAY_MS)
      t.like(await held, { status: 200, body: 'done' })
      t.is(runs, 1)
    })
  }
}
