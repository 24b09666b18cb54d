/**
 * Guards against passing on a response whose status is none, which no caller can
 * interpret (RFC 9110, section 15).
 */
import test from 'ava'
import { createSmallRequestClient } from '../src/adapters/small-request.js'
import { call, createKind, createService, formatOwnResponse, ORDER, startDaemon, startRawBackend } from './support.js'
import './exit.js'

const STATUSES = ['000', '001', '099', '600', '999', '0', '20', '2000', '-01', 'abc']

const startBackendWithStatus = (status: string): Promise<number> =>
  startRawBackend((socket, received) => { socket.write(formatOwnResponse(received).replace('200', status)) })

for (const status of STATUSES) {
  // One after the other, since two daemons for each status at once need more than their deadlines on a busy machine.
  test.serial(`a response with status ${status} is answered with 502, or by another target if the request may run again`, async t => {
    const port = await startBackendWithStatus(status)
    const single = await startDaemon([createService([port], { kinds: [createKind({ attemptsMax: 1 }), ORDER] })])
    t.is((await call(single.port)).status, 502)
    t.is((await call(single.port, { method: 'POST', body: 'x' })).status, 502)
    const good = await startRawBackend((socket, received) => { socket.write(formatOwnResponse(received)) })
    const retrying = await startDaemon([createService([port, good])])
    for (let count = 0; count < 4; count++) t.is((await call(retrying.port)).status, 200)
  })
}

for (const status of STATUSES) {
  test(`a small document with status ${status} is an error`, async t => {
    const client = createSmallRequestClient({ bytesMax: 1_000, connectionsMax: 1, connectTimeoutMs: 1_000 })
    await t.throwsAsync(client.send(`http://127.0.0.1:${await startBackendWithStatus(status)}/`, { method: 'GET' }, AbortSignal.timeout(2_000)), { instanceOf: Error, message: /status|HTTP/ })
    await client.close()
  })
}
