/**
 * Guards against responses that reach the caller of another request: a backend
 * server sends a second copy of a response, at once or late, on a connection
 * that may be in use again.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { openBackendSocket, sendRequest, type BackendSocket, type SendFailure } from '../src/adapters/backend-http.js'
import { call, createKind, createService, ORDER, startDaemon, startRawBackend } from './support.js'
import './exit.js'

const REQUESTS_MIN = 240
const PARALLEL = 6
const REQUEST = /(?:GET|POST) (\/shop\/\S+) HTTP\/1\.1\r\n[^]*?\r\n\r\n/g
/** Every request is answered after this time, so the next request of its connection can be in flight when an extra response arrives. */
const SERVICE_MS = 2

type ExtraResponse = { delayMs: number, isInSameWrite?: boolean, waitsForNextRequest?: boolean }

const EXTRA_RESPONSES: Record<string, ExtraResponse> = {
  'in the same write': { delayMs: 0, isInSameWrite: true },
  'at once': { delayMs: 0 },
  'after 1 ms': { delayMs: 1 },
  'after 5 ms': { delayMs: 5 },
  'after 50 ms': { delayMs: 50 },
  'after 500 ms': { delayMs: 500 },
  'when the next request has arrived': { delayMs: 0, waitsForNextRequest: true }
}

const formatResponse = (path: string, requestId: string | undefined): string =>
  `HTTP/1.1 200 OK\r\n${requestId === undefined ? '' : `x-request-id: ${requestId}\r\n`}content-length: ${path.length}\r\n\r\n${path}`

/** Server whose response has the path of its request as the body, and which sends every second response twice. */
const startRepeatingBackend = (echoesRequestId: boolean, extra: ExtraResponse): Promise<number> => {
  const handledCounts = new WeakMap<Socket, number>()
  let responseCount = 0
  return startRawBackend((socket, received) => {
    const requests = [...received.matchAll(REQUEST)]
    const handledCount = handledCounts.get(socket) ?? 0
    handledCounts.set(socket, requests.length)
    for (const [head, path = ''] of requests.slice(handledCount)) {
      const requestId = echoesRequestId ? /x-request-id: (\S+)/i.exec(head)?.[1] : undefined
      const response = formatResponse(path, requestId)
      const isRepeated = responseCount++ % 2 === 0
      const write = (text: string): void => { if (!socket.destroyed) socket.write(text) }
      setTimeout(() => {
        write(isRepeated && extra.isInSameWrite ? response + response : response)
        if (!isRepeated || extra.isInSameWrite) return
        if (extra.waitsForNextRequest) socket.once('data', () => write(response))
        else setTimeout(() => write(response), extra.delayMs)
      }, SERVICE_MS)
    }
  })
}

type Results = { own: number, foreign: number, failed: number }

/**
 * Sends requests with different paths, several at the same time, until the
 * first extra responses have arrived, and compares each body with its path.
 */
const sendAll = async (port: number, method: string, { delayMs }: ExtraResponse): Promise<Results> => {
  const results: Results = { own: 0, foreign: 0, failed: 0 }
  const endMs = performance.now() + 3 * delayMs
  let next = 0
  const sendSequence = async (): Promise<void> => {
    while (next < REQUESTS_MIN || performance.now() < endMs) {
      const path = `/shop/${method.toLowerCase()}-${next++}`
      const { status, body } = await call(port, { method, path, ...(method === 'POST' && { body: 'x' }) })
      results[status !== 200 ? 'failed' : body === path ? 'own' : 'foreign']++
    }
  }
  await Promise.all(Array.from({ length: PARALLEL }, sendSequence))
  return results
}

for (const echoesRequestId of [false, true]) {
  for (const method of ['GET', 'POST']) {
    for (const [name, extra] of Object.entries(EXTRA_RESPONSES)) {
      test.serial(`${method}: an extra response ${name} from a server that ${echoesRequestId ? 'echoes' : 'does not echo'} request ids reaches nobody`, async t => {
        const ports = await Promise.all([1, 2].map(() => startRepeatingBackend(echoesRequestId, extra)))
        const daemon = await startDaemon([createService(ports, { kinds: [createKind(), ORDER] })])
        const results = await sendAll(daemon.port, method, extra)
        t.log(JSON.stringify(results))
        t.is(results.foreign, 0)
        // Without echoed ids, each request has a connection of its own, so an extra response does no harm at all.
        if (!echoesRequestId) t.is(results.failed, 0)
      })
    }
  }
}

test('a service that is trusted with reuse keeps connections of targets that do not echo request ids', async t => {
  const connections = new Set<number>()
  const port = await startRawBackend((socket, _received, number) => {
    connections.add(number)
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
  })
  const countConnections = async (trustsReuse: boolean): Promise<number> => {
    connections.clear()
    const daemon = await startDaemon([createService([port], { trustsReuse })])
    for (let count = 0; count < 10; count++) t.is((await call(daemon.port)).body, 'ok')
    return connections.size
  }
  t.is(await countConnections(true), 1)
  t.is(await countConnections(false), 10)
})

test('two requests with the same id do not use the same connection', async t => {
  const port = await startRepeatingBackend(true, EXTRA_RESPONSES['when the next request has arrived'] as ExtraResponse)
  const daemon = await startDaemon([createService([port])])
  for (let count = 0; count < 40; count++) {
    const { body } = await call(daemon.port, { path: `/shop/${count}`, headers: { 'x-request-id': `id-${Math.floor(count / 2)}` } })
    if (body.startsWith('/shop')) t.is(body, `/shop/${count}`)
  }
})

test('nothing is sent on a new connection on which bytes have already arrived', async t => {
  const server = createServer(socket => { socket.on('error', () => undefined).write(formatResponse('/early', undefined)) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  server.unref()
  const target = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  const opened = await new Promise<BackendSocket>((resolve, reject) => { openBackendSocket(target, resolve, message => reject(new Error(message))) })
  while (opened.socket.bytesRead === 0) await new Promise(setImmediate)
  const failure = await new Promise<SendFailure>((resolve, reject) => {
    sendRequest(opened, { method: 'GET', path: '/shop/x', headers: [], body: null }, {
      canWrite: () => true,
      onWritten: () => reject(new Error('the request was written')),
      onBodyProgress: () => undefined,
      onHead: () => reject(new Error('a response was passed on')),
      onData: () => true,
      onEnd: () => undefined,
      onFailure: resolve
    })
  })
  t.is(failure.kind, 'not-sent')
})
