/**
 * Guards against uploads that are sent to a target although their callers left while
 * they waited for one.
 */
import test from 'ava'
import { createKind, createRawCaller, createService, startBackend, startDaemon } from './support.js'
import { sleep } from './uploads.js'
import './exit.js'

const TARGET_BUSY_MS = 700
const LEAVE_AFTER_MS = 100
const SETTLE_MS = 300
const CHUNK_BYTES = 10_000

const chunked = (sizeBytes: number): string => {
  const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`
  return `transfer-encoding: chunked\r\n\r\n${chunk.repeat(sizeBytes / CHUNK_BYTES)}0\r\n\r\n`
}

const sized = (sizeBytes: number): string => `content-length: ${sizeBytes}\r\n\r\n${'x'.repeat(sizeBytes)}`

const UPLOADS: Record<string, { method: string, rest: string }> = {
  'in chunks, collected in part': { method: 'POST', rest: chunked(50_000) },
  'in chunks': { method: 'POST', rest: chunked(300_000) },
  'with a length': { method: 'POST', rest: sized(300_000) },
  idempotent: { method: 'PUT', rest: chunked(300_000) }
}

for (const [name, { method, rest }] of Object.entries(UPLOADS)) {
  for (const how of ['end', 'reset'] as const) {
    test(`an upload whose caller left while it waited for a target is not sent: ${name}, ${how}`, async t => {
      const paths: string[] = []
      const backend = await startBackend((req, res) => {
        paths.push(req.url ?? '')
        req.resume()
        setTimeout(() => res.end('done'), TARGET_BUSY_MS)
      })
      const { port } = await startDaemon([createService([backend], {
        slotsPerTarget: 1,
        kinds: [createKind(), createKind({ name: 'upload', methods: ['POST'], idempotent: false }), createKind({ name: 'replace', methods: ['PUT'] })]
      })])
      const first = createRawCaller(port, 'GET /shop/first HTTP/1.1\r\nhost: a\r\n\r\n')
      await sleep(LEAVE_AFTER_MS)
      const caller = createRawCaller(port, `${method} /shop/left HTTP/1.1\r\nhost: a\r\n${rest}`)
      await sleep(LEAVE_AFTER_MS)
      if (how === 'end') caller.socket.end()
      else caller.socket.resetAndDestroy()
      await first.waitFor(/done/)
      await sleep(SETTLE_MS)
      t.deepEqual(paths, ['/shop/first'])
      first.socket.destroy()
    })
  }
}

test('the line of a request whose caller left at its target says how long it had waited before it was sent', async t => {
  const backend = await startBackend((req, res) => { setTimeout(() => res.end('done'), req.url === '/shop/first' ? 2 * LEAVE_AFTER_MS : TARGET_BUSY_MS) })
  const { port, lines } = await startDaemon([createService([backend], { slotsPerTarget: 1 })])
  createRawCaller(port, 'GET /shop/first HTTP/1.1\r\nhost: a\r\n\r\n')
  await sleep(LEAVE_AFTER_MS)
  const caller = createRawCaller(port, 'GET /shop/left HTTP/1.1\r\nhost: a\r\nx-request-id: left\r\n\r\n')
  await sleep(3 * LEAVE_AFTER_MS)
  caller.socket.destroy()
  await sleep(LEAVE_AFTER_MS)
  const line = lines.find(text => text.includes('event=request_failed') && text.includes('request_id=left '))
  const sentAfterMs = Number(/ sent_after_ms=(\d+) /.exec(line ?? '')?.[1])
  t.true(sentAfterMs >= LEAVE_AFTER_MS / 2 && sentAfterMs < 3 * LEAVE_AFTER_MS, line)
})
