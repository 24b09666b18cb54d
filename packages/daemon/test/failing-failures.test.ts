/**
 * Guards against a request without any answer, and a process that ends by itself,
 * when an unexpected error stops the response that was to report a failure.
 */
import test from 'ava'
import { DEFAULT_DIALECT, type HttpDialect } from '../src/http-dialect.js'
import { createRawCaller, createService, startDaemon, startRawBackend } from './support.js'
import './exit.js'

const ENDED_WITHIN_MS = 500
const REQUEST = 'GET /shop/x HTTP/1.1\r\nhost: a\r\n\r\n'

const refuse = (): never => { throw new Error('no such value') }

/** Parts of a failure response that cannot be written. */
const FAULTS: Record<string, Partial<HttpDialect>> = {
  'its Retry-After': { formatRetryAfter: refuse },
  'the name of a header': { requestIdHeader: 'x request id' }
}

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`the connection ends when a failure response is stopped by an error in ${name}`, async t => {
    const refusing = await startRawBackend(socket => { socket.write('HTTP/1.1 503 No\r\nx-request-not-run: true\r\ncontent-length: 0\r\n\r\n') })
    const daemon = await startDaemon([createService([refusing])], { dialect: { ...DEFAULT_DIALECT, ...fault } })
    const caller = createRawCaller(daemon.port, REQUEST)
    const end = await Promise.race([caller.closed, new Promise<string>(resolve => { setTimeout(() => resolve('open'), ENDED_WITHIN_MS) })])
    t.is(end, 'reset')
    t.regex(daemon.lines.join('\n'), /event=request_fault/)
  })
}

test('the connection ends when a request that is refused at once gets no failure response', async t => {
  const daemon = await startDaemon([], { dialect: { ...DEFAULT_DIALECT, formatRetryAfter: refuse }, callerLimits: { connectionsMax: 10, requestsPerS: 1, requestBurst: 1, callersMax: 10 } })
  const callers = [1, 2].map(() => createRawCaller(daemon.port, REQUEST))
  const last = callers.at(-1)
  const end = await Promise.race([last?.closed, new Promise<string>(resolve => { setTimeout(() => resolve('open'), ENDED_WITHIN_MS) })])
  t.not(end, 'open')
})
