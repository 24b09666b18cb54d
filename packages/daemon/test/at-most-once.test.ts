/**
 * Guards against a request that is written twice, and against one that is sent
 * after its caller received a response that it did not run. The backend servers
 * count requests in the raw bytes that arrive.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import test from 'ava'
import { Client, errors } from 'undici'
import { openBackendSocket, sendRequest, type SendFailure } from '../src/adapters/backend-http.js'
import { CONNECT_TIMEOUT_MS } from '../src/constants.js'
import { call, createKind, formatOwnResponse, ORDER, READ, createService, startBackend, startDaemon, startDaemonProcess, startRawBackend, type TestDaemon } from './support.js'
import './exit.js'

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
const countRequests = (received: string): number => received.match(/(GET|POST) \/shop/g)?.length ?? 0

/** Limits under which a target gets one request at a time: one slot, and fleet-wide connections of which this node gets one. */
const ONE_REQUEST_AT_A_TIME = { slotsPerTarget: 1, connectionsPerTarget: 24 }

test('a server that closes after reading gets an order once, and its outcome is unknown', async t => {
  let seen = 0
  const port = await startRawBackend((socket, received) => {
    seen += countRequests(received)
    socket.destroy()
  })
  const other = await startRawBackend(() => { seen += 100 })
  const daemon = await startDaemon([createService([port]), createService([other], { name: 'other', pathPrefix: '/other' })])
  const response = await call(daemon.port, { method: 'POST', body: 'x' })
  t.is(response.headers['x-result-code'], 'WV-2002')
  t.is(response.headers['x-result-class'], 'outcome-unknown')
  t.is(seen, 1)
})

test('an idempotent request is retried once, on another target', async t => {
  const seen = [0, 0]
  const ports = await Promise.all(seen.map((_, index) => startRawBackend((socket, received) => {
    seen[index] = (seen[index] ?? 0) + countRequests(received)
    if (seen.reduce((sum, count) => sum + count, 0) === 1) socket.destroy()
    else socket.write(OK)
  })))
  const daemon = await startDaemon([createService(ports)])
  const response = await call(daemon.port)
  t.is(response.body, 'ok')
  t.deepEqual(seen, [1, 1])
})

test('a keep-alive connection that closes while an order is under way does not carry it twice', async t => {
  let seen = 0
  const port = await startRawBackend((socket, received) => {
    const count = countRequests(received)
    if (count === 1) {
      seen++
      socket.write(formatOwnResponse(received))
    } else if (count === 2) {
      seen++
      socket.resetAndDestroy()
    }
  })
  const daemon = await startDaemon([createService([port])])
  t.is((await call(daemon.port, { method: 'POST', body: 'a' })).body, 'ok')
  t.is((await call(daemon.port, { method: 'POST', body: 'b' })).headers['x-result-code'], 'WV-2002')
  t.is(seen, 2)
})

test('undici sends again after an informational error, and the start counter prevents it', async t => {
  let seen = 0
  let onSeen: () => void = () => undefined
  const port = await startRawBackend((_socket, received) => {
    seen += countRequests(received)
    onSeen()
  })
  const attempt = async (isGuarded: boolean): Promise<{ seen: number, failure?: SendFailure['kind'] }> => {
    seen = 0
    const sockets = [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')]
    await Promise.all(sockets.map(socket => once(socket, 'connect')))
    const [first, second] = sockets as [Socket, Socket]
    let used = 0
    const client = new Client(`http://127.0.0.1:${port}`, { connect: (_options, callback) => queueMicrotask(() => callback(null, used++ === 0 ? first : second)) })
    const failed = new Promise<SendFailure['kind'] | undefined>(resolve => {
      const handler = { onConnect: () => undefined, onHeaders: () => true, onData: () => true, onComplete: () => undefined, onError: () => resolve(undefined) }
      if (!isGuarded) client.dispatch({ method: 'GET', path: '/shop/x' }, handler)
      else {
        sendRequest({ client, socket: first, hasFailed: () => false, address: '', setExceptionHandler: () => undefined, readGate: { hold: () => undefined, release: () => undefined, passHeldPiece: () => undefined, setPacing: () => undefined } }, { method: 'POST', path: '/shop/x', headers: [], body: Buffer.from('x') }, {
          canWrite: () => true, onWritten: () => undefined, onBodyProgress: () => undefined, onHead: () => undefined, onData: () => true, onEnd: () => undefined, onFailure: ({ kind: name }) => resolve(name)
        })
      }
    })
    await new Promise<void>(resolve => { onSeen = resolve })
    const seenAgain = new Promise<undefined>(resolve => { onSeen = () => resolve(undefined) })
    first.destroy(new errors.InformationalError('test'))
    const failure = await Promise.race([failed, seenAgain])
    for (const socket of sockets) socket.destroy()
    return { seen, failure }
  }
  t.deepEqual(await attempt(false), { seen: 2, failure: undefined })
  t.deepEqual(await attempt(true), { seen: 1, failure: 'second-start' })
})

test('a queued request whose deadline passed is not sent when a place becomes free', async t => {
  const paths: string[] = []
  let release: () => void = () => undefined
  const port = await startBackend((req, res) => {
    paths.push(req.url ?? '')
    if (req.url === '/shop/first') release = () => res.end('first')
    else res.end('ok')
  })
  const daemon = await startDaemon([createService([port], ONE_REQUEST_AT_A_TIME)])
  const first = call(daemon.port, { path: '/shop/first' })
  while (paths.length === 0) await new Promise(setImmediate)
  const second = await call(daemon.port, { method: 'POST', path: '/shop/second', headers: { 'x-request-timeout-ms': '60' }, body: 'x' })
  t.is(second.headers['x-result-class'], 'not-run')
  release()
  await first
  t.is((await call(daemon.port, { path: '/shop/third' })).body, 'ok')
  t.deepEqual(paths, ['/shop/first', '/shop/third'])
})

const runWhileStopped = async (daemon: Awaited<ReturnType<typeof startDaemonProcess>>, whileStopped: () => Promise<void>): Promise<void> => {
  const pauseLogged = daemon.nextLine('event=process_paused')
  daemon.child.kill('SIGSTOP')
  await new Promise(resolve => setTimeout(resolve, 800))
  await whileStopped()
  daemon.child.kill('SIGCONT')
  await pauseLogged
}

test('a process that was stopped sends nothing that is too late, and sends the rest once', async t => {
  const paths: string[] = []
  let release: () => void = () => undefined
  let onFirst: () => void = () => undefined
  const port = await startBackend((req, res) => {
    paths.push(req.url ?? '')
    if (req.url !== '/shop/first') return res.end('ok')
    release = () => res.end('first')
    onFirst()
  })
  const daemon = await startDaemonProcess(t, [createService([port], { ...ONE_REQUEST_AT_A_TIME, kinds: [READ, { ...ORDER, deadlineMs: 10_000 }, createKind({ name: 'slow', methods: ['PATCH'], deadlineMs: 10_000 })] })])
  const arrived = new Promise<void>(resolve => { onFirst = resolve })
  const first = call(daemon.port, { method: 'PATCH', path: '/shop/first' })
  await arrived
  const late = call(daemon.port, { method: 'POST', path: '/shop/late', headers: { 'x-request-timeout-ms': '600' }, body: 'x' })
  const inTime = call(daemon.port, { method: 'POST', path: '/shop/in-time', body: 'x' })
  await new Promise(resolve => setTimeout(resolve, 100))
  await runWhileStopped(daemon, async () => release())
  t.is((await first).body, 'first')
  t.is((await late).headers['x-result-class'], 'not-run')
  t.is((await inTime).body, 'ok')
  t.deepEqual(paths, ['/shop/first', '/shop/in-time'])
})

/** Runs a function once, after a target was chosen and before the request is written. */
const runBetweenChoiceAndWrite = (daemon: TestDaemon, run: () => void): void => {
  const { add } = daemon.events
  let isDone = false
  daemon.events.add = entry => {
    add(entry)
    if (entry.event !== 'request_routed' || isDone) return
    isDone = true
    run()
  }
}

test.serial('a connection that was established during a pause of the process does not time out', async t => {
  const port = await startBackend((_req, res) => res.end())
  const opened = new Promise<string>(resolve => openBackendSocket({ host: '127.0.0.1', port }, () => resolve('open'), resolve))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2 * CONNECT_TIMEOUT_MS)
  t.is(await opened, 'open')
})

const countRoutes = (daemon: TestDaemon): number => daemon.events.find(({ event }) => event === 'request_routed').length

const startDaemonWithTwoTargets = async (): Promise<{ daemon: TestDaemon, hits: string[] }> => {
  const hits: string[] = []
  const ports = await Promise.all(['t1', 't2'].map(name => startBackend((req, res) => {
    hits.push(name)
    req.resume().on('end', () => res.end('ok'))
  })))
  return { daemon: await startDaemon([createService(ports)]), hits }
}

test('a target that begins to drain after it was chosen does not get the request', async t => {
  const { daemon, hits } = await startDaemonWithTwoTargets()
  let chosen: string | undefined
  runBetweenChoiceAndWrite(daemon, () => {
    chosen = daemon.events.find(({ event }) => event === 'request_routed')[0]?.targetId
    daemon.fleet.setTargets('shop', { targets: daemon.targets, leavingIds: [chosen ?? ''] })
  })
  t.is((await call(daemon.port, { method: 'POST', body: 'x' })).body, 'ok')
  t.is(hits.length, 1)
  t.not(hits[0], chosen)
})

// Serial, since it blocks this process and so also the daemons of other tests.
test.serial('a routing decision from before a pause of the process is made again, and the request is sent once', async t => {
  const { daemon, hits } = await startDaemonWithTwoTargets()
  const blockFor = (ms: number) => () => { Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms) }
  runBetweenChoiceAndWrite(daemon, blockFor(700))
  t.is((await call(daemon.port, { method: 'POST', body: 'x' })).body, 'ok')
  t.is(hits.length, 1)
  t.is(countRoutes(daemon), 2)
  runBetweenChoiceAndWrite(daemon, blockFor(700))
  const late = await call(daemon.port, { method: 'POST', headers: { 'x-request-timeout-ms': '500' }, body: 'x' })
  t.is(late.headers['x-result-class'], 'not-run')
  t.is((await call(daemon.port)).body, 'ok')
  t.is(hits.length, 2)
})
