/**
 * Guards against a process that ends by itself when the connection of a response
 * ends, by whichever side, while the node has stopped reading because the caller
 * is slower: undici asserts at that moment that its parser is not paused.
 */
import test from 'ava'
import { openBackendSocket, sendRequest, type BackendSocket, type OutgoingRequest, type SendFailure } from '../src/adapters/backend-http.js'
import { call, createDeferred, createKind, createRawCaller, createService, formatOwnResponse, startDaemonProcess, startEndlessBackend, startRawBackend } from './support.js'
import './exit.js'

const PART = '.'.repeat(20_000)
/** Larger than what is held of a response without a length until its end is known. */
const UNSIZED_PART = '.'.repeat(80_000)
const RESET_AFTER_MS = 20
const WATCHED_MS = 100

/** Responses after which the connection is not used again, so undici ends its parser with the connection. */
const STARTS = {
  'no length': `HTTP/1.1 200 OK\r\n\r\n${UNSIZED_PART}`,
  'a length and Connection: close': `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${2 * PART.length}\r\n\r\n${PART}`,
  'chunks and Connection: close': `HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${(2 * PART.length).toString(16)}\r\n${PART}`,
  'version 1.0 and no length': `HTTP/1.0 200 OK\r\n\r\n${UNSIZED_PART}`
}

const openTo = (port: number): Promise<BackendSocket> => new Promise((resolve, reject) => {
  openBackendSocket({ host: '127.0.0.1', port }, resolve, message => reject(new Error(message)))
})

type HeldResponse = { outgoing: OutgoingRequest, failure: Promise<SendFailure | undefined>, bodyBytes: () => number }

/** Starts a request and stops reading at the first bytes of the body. */
const startHeldResponse = async (port: number): Promise<HeldResponse> => {
  const opened = await openTo(port)
  const held = createDeferred<void>()
  const failure = createDeferred<SendFailure | undefined>()
  let bodyBytes = 0
  const outgoing = sendRequest(opened, { method: 'GET', path: '/shop/x', headers: [], body: null, allowsEndByClose: true }, {
    canWrite: () => true,
    onWritten: () => undefined,
    onBodyProgress: () => undefined,
    onHead: () => undefined,
    onData: chunk => {
      bodyBytes += chunk.length
      held.resolve()
      return false
    },
    onEnd: () => failure.resolve(undefined),
    onFailure: failure.resolve
  })
  await held.promise
  return { outgoing, failure: failure.promise, bodyBytes: () => bodyBytes }
}

const watch = (): Promise<void> => new Promise(resolve => setTimeout(resolve, WATCHED_MS))

for (const [name, start] of Object.entries(STARTS)) {
  test.serial(`a response with ${name} that is reset while reading is held back is broken`, async t => {
    const port = await startRawBackend(socket => {
      socket.write(start)
      setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS)
    })
    const { failure } = await startHeldResponse(port)
    t.is((await failure)?.kind, 'broken')
    await watch()
  })

  test.serial(`a response with ${name} can be aborted while reading is held back`, async t => {
    const port = await startRawBackend(socket => { socket.write(start) })
    const { outgoing } = await startHeldResponse(port)
    outgoing.abort()
    await watch()
    t.pass()
  })
}

test.serial('a response that is held back is not read without limit, and is complete when reading goes on', async t => {
  const body = PART.repeat(200)
  const port = await startRawBackend(socket => { socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`) })
  const { outgoing, failure, bodyBytes } = await startHeldResponse(port)
  await watch()
  t.true(bodyBytes() <= 65_536, `${bodyBytes()} bytes were read`)
  const timer = setInterval(outgoing.resume, 1)
  t.is(await failure, undefined)
  clearInterval(timer)
  t.is(bodyBytes(), body.length)
})

const BLOCK = 'x'.repeat(16_384)
const CHUNK = `4000\r\n${BLOCK}\r\n`
const CLOSE = 'connection: close\r\n'

/** Responses without end on connections that are not used again. */
const ENDLESS = {
  'a body without a length': { start: 'HTTP/1.1 200 OK\r\n\r\n', block: BLOCK },
  'an endless length and Connection: close': { start: `HTTP/1.1 200 OK\r\n${CLOSE}content-length: 9000000000000\r\n\r\n`, block: BLOCK },
  'endless chunks and Connection: close': { start: `HTTP/1.1 200 OK\r\n${CLOSE}transfer-encoding: chunked\r\n\r\n`, block: CHUNK },
  'version 1.0': { start: 'HTTP/1.0 200 OK\r\n\r\n', block: BLOCK },
  'a refusal with Connection: close and an endless body': {
    start: `HTTP/1.1 503 Service Unavailable\r\nx-request-not-run: true\r\n${CLOSE}content-length: 9000000000000\r\n\r\n`, block: BLOCK
  }
}

const DEADLINE_MS = 400
const SILENT_CALLERS = 8
const SOUND_REQUESTS = 100

for (const [name, endless] of Object.entries(ENDLESS)) {
  for (const end of ['the deadline', 'the caller'] as const) {
    test.serial(`the process goes on when ${end} ends a response of ${name} whose caller does not read`, async t => {
      const good = await startRawBackend((socket, received) => { socket.write(formatOwnResponse(received)) })
      const daemon = await startDaemonProcess(t, [
        createService([good], { name: 'good', pathPrefix: '/good', kinds: [createKind({ path: '/good/**' })] }),
        createService([await startEndlessBackend(endless), await startEndlessBackend(endless)], { kinds: [createKind({ deadlineMs: DEADLINE_MS })] })
      ], { TEST_ENDS_BY_CLOSE: 'true' })
      const callers = Array.from({ length: SILENT_CALLERS }, () => createRawCaller(daemon.port, 'GET /shop/x HTTP/1.1\r\nhost: a\r\n\r\n'))
      for (const { socket } of callers) socket.pause()
      if (end === 'the caller') setTimeout(() => { for (const { socket } of callers) socket.resetAndDestroy() }, DEADLINE_MS / 2)
      for (let count = 0; count < SOUND_REQUESTS; count++) {
        t.is((await call(daemon.port, { path: '/good/x' })).status, 200)
        await new Promise(resolve => setTimeout(resolve, 3 * DEADLINE_MS / SOUND_REQUESTS))
      }
      t.is(daemon.child.exitCode, null)
      for (const { socket } of callers) socket.destroy()
    })
  }
}
