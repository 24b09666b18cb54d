/**
 * Guards against a request that comes late in a planned stop, is passed on, and
 * is cut off without an answer when the stop ends.
 */
import test from 'ava'
import type { Kind } from '@wisteriavalve/schema'
import { createKind, createRawCaller, createService, ORDER, startBackend, startDaemonProcess } from './support.js'

const STOP_TIMEOUT_MS = 3_000
/** A request that was sent now would still be running at the end of the stop. */
const LATE_MS = 1_600
const SERVICE_MS = 2_000

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const request = (method: string, name: string): string => `${method} /shop/${name} HTTP/1.1\r\nhost: a\r\nx-request-id: ${name}\r\ncontent-length: 0\r\n\r\n`

for (const method of ['GET', 'POST']) {
  test(`${method}: a request that comes too late in a planned stop to be finished is refused at once and does not run`, async t => {
    const ranNames: string[] = []
    const port = await startBackend((req, res) => {
      const name = (req.url ?? '').slice('/shop/'.length)
      ranNames.push(name)
      setTimeout(() => res.end('done'), name === 'first' ? 5 : SERVICE_MS)
    })
    const kinds: [Kind, ...Kind[]] = [createKind({ deadlineMs: 10_000 }), { ...ORDER, deadlineMs: 10_000 }]
    const daemon = await startDaemonProcess(t, [createService([port], { kinds })], { WISTERIAVALVE_STOP_TIMEOUT_MS: String(STOP_TIMEOUT_MS), TEST_ENTRY_LIFETIME_MS: '10000' })
    const kept = createRawCaller(daemon.port, request(method, 'first'))
    await kept.waitFor(/done/)
    // Requests in flight keep the daemon running until the late request arrives.
    const running = createRawCaller(daemon.port, request('GET', 'running'))
    await sleep(50)
    daemon.child.kill('SIGTERM')
    await sleep(LATE_MS)
    kept.socket.write(request(method, 'late'))
    const end = await Promise.race([kept.closed, sleep(2 * STOP_TIMEOUT_MS).then(() => 'open')])
    const answer = kept.received().slice(kept.received().indexOf('done') + 4)
    t.is(end, 'end')
    t.regex(answer, /^HTTP\/1\.1 503 [^]*x-result-class: not-run/i)
    t.regex(answer, /connection: close/i)
    t.regex(answer, /retry-after: /i)
    t.false(ranNames.includes('late'))
    t.regex(await running.waitFor(/done/), /HTTP\/1\.1 200/)
  })
}
