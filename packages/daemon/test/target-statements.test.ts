/**
 * Guards against requests at a target that stated that it is leaving, or that it
 * wants to be left alone, after a change of the configuration.
 */
import test from 'ava'
import { call, createService, startBackend, startDaemon } from './support.js'
import './exit.js'

const STATEMENTS: Record<string, { status: number, headers: Record<string, string> }> = {
  'that it is leaving': { status: 200, headers: { 'x-draining': 'true' } },
  'that it wants to be left alone': { status: 503, headers: { 'x-request-not-run': 'true', 'retry-after': '60' } }
}

for (const [name, { status, headers }] of Object.entries(STATEMENTS)) {
  test(`a target that stated ${name} gets no request when its service is left out of a configuration and is back in the next one`, async t => {
    let count = 0
    const stating = await startBackend((_req, res) => {
      count++
      res.writeHead(status, headers).end('done')
    })
    const other = await startBackend((_req, res) => { res.end('done') })
    const service = createService([stating, other])
    const daemon = await startDaemon([service])
    const sendAll = async (): Promise<void> => { for (let sent = 0; sent < 20; sent++) await call(daemon.port) }
    await sendAll()
    t.is(count, 1)
    daemon.fleet.applyServices([])
    t.is((await call(daemon.port)).status, 404)
    daemon.fleet.applyServices([service])
    await sendAll()
    t.is(count, 1)
  })
}
