/**
 * Guards against requests of callers that left without a sign of how long they had waited.
 */
import test from 'ava'
import { createRawCaller, createService, startBackend, startDaemon } from './support.js'
import { sleep } from './uploads.js'
import './exit.js'

const TARGET_BUSY_MS = 700
const LEAVE_AFTER_MS = 100
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
