/**
 * Guards against requests that a planned stop cuts off: callers go on sending
 * on open connections and opening new ones until they are refused.
 */
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import test, { type ExecutionContext } from 'ava'
import { createRandom, type Random } from '@wisteriavalve/common'
import { createKind, createService, ORDER, startBackend, startDaemonProcess, UPLOAD } from './support.js'
import './exit.js'

const SEED = 700
const STOPS = 20
const PARALLEL_STOPS = 4
const SERVICE_MS = 5
/** New connections are refused after this time times 1.2. */
const ENTRY_LIFETIME_MS = 400
const STOP_TIMEOUT_MS = 8_000
/** Requests that are answered before the stop begins. */
const ANSWERED_BEFORE_STOP = 51

type Count = {
  answered: number
  /** For each message without all its responses: whether its connection had carried one before, what it was, and what arrived. */
  cut: string[]
}

const pause = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs))

const openConnection = (port: number): Promise<Socket | undefined> => new Promise(resolve => {
  const socket = connect({ port, host: '127.0.0.1', noDelay: true })
  socket.once('error', () => resolve(undefined)).once('connect', () => resolve(socket))
})

/** Complete responses of the backend server, or of the node itself. */
const RESPONSE = /HTTP\/1\.1 \d{3}[^]*?\r\n\r\n(?:done|\{[^}]*\})/g

type Message = {
  /** Written with pauses between them. */
  parts: readonly string[]
  requestCount: number
}

const GET = 'GET /shop/x HTTP/1.1\r\nhost: h\r\n\r\n'
const ORDER_REQUEST = 'POST /shop/x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody'
const UPLOAD_PARTS = ['PUT /shop/x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n', '4\r\npart\r\n', '0\r\n\r\n']
const UPLOAD_PAUSE_MS = 60

const SHORT_MESSAGES: readonly Message[] = [
  { parts: [GET], requestCount: 1 },
  { parts: [ORDER_REQUEST], requestCount: 1 }
]

const MESSAGES: readonly Message[] = [
  ...SHORT_MESSAGES,
  { parts: [GET + GET + GET], requestCount: 3 },
  { parts: UPLOAD_PARTS, requestCount: 1 }
]

type Callers = {
  count: number
  /** Between two requests, and before a connection is opened. */
  pauseMsMax: number
  /** Share of responses after which the caller closes its connection. */
  closeShare: number
  messages: readonly Message[]
}

/** Together, they send some hundred requests a second. */
const KEEPING: Callers = { count: 12, pauseMsMax: 40, closeShare: 0.1, messages: MESSAGES }
/** The queue of the listener is hardly ever empty. */
const RECONNECTING: Callers = { count: 24, pauseMsMax: 5, closeShare: 1, messages: SHORT_MESSAGES }

const writeParts = async (socket: Socket, parts: readonly string[]): Promise<void> => {
  for (const [index, part] of parts.entries()) {
    if (index > 0) await pause(UPLOAD_PAUSE_MS)
    if (!socket.destroyed) socket.write(part)
  }
}

/** Sends one or several requests and waits for their responses or the end of the connection. */
const exchange = (socket: Socket, { parts, requestCount }: Message): Promise<{ isAnswered: boolean, isClosing: boolean, received: string }> => new Promise(resolve => {
  let received = ''
  const finish = (isAnswered: boolean): void => {
    socket.removeAllListeners()
    socket.on('error', () => undefined)
    resolve({ isAnswered, isClosing: /connection: close/i.test(received), received })
  }
  socket.on('data', chunk => {
    received += chunk.toString('latin1')
    if (received.match(RESPONSE)?.length === requestCount) finish(true)
  })
  socket.on('error', () => finish(false)).on('close', () => finish(false))
  writeParts(socket, parts).catch(() => finish(false))
})

/** Sends on the connection until it is to be closed. @returns whether a request was cut off */
const useConnection = async (socket: Socket, { pauseMsMax, closeShare, messages }: Callers, random: Random, count: Count): Promise<void> => {
  for (let requestCount = 0; ; requestCount++) {
    const message = messages[random.int(messages.length)] as Message
    const { isAnswered, isClosing, received } = await exchange(socket, message)
    if (isAnswered) count.answered++
    else count.cut.push(`${requestCount === 0 ? 'new' : 'kept'} connection, ${message.parts[0]?.slice(0, 20)}, received ${JSON.stringify(received)}`)
    if (!isAnswered || isClosing || random.next() < closeShare) break
    await pause(random.int(pauseMsMax))
  }
  socket.destroy()
}

const callUntilRefused = async (port: number, callers: Callers, random: Random, count: Count): Promise<void> => {
  for (;;) {
    const socket = await openConnection(port)
    if (!socket) return
    await useConnection(socket, callers, random, count)
    await pause(random.int(callers.pauseMsMax))
  }
}

const startWorkingBackend = (): Promise<number> => startBackend((req, res) => {
  req.resume().on('end', () => setTimeout(() => res.end('done'), SERVICE_MS))
})

const stopUnderLoad = async (t: ExecutionContext, callers: Callers, seed: number): Promise<void> => {
  const service = createService([await startWorkingBackend(), await startWorkingBackend()], { slotsPerTarget: 16, kinds: [createKind(), ORDER, UPLOAD] })
  const daemon = await startDaemonProcess(t, [service], { TEST_ENTRY_LIFETIME_MS: String(ENTRY_LIFETIME_MS), WISTERIAVALVE_STOP_TIMEOUT_MS: String(STOP_TIMEOUT_MS) })
  const exited = once(daemon.child, 'exit')
  const count: Count = { answered: 0, cut: [] }
  const random = createRandom(seed)
  const finished = Array.from({ length: callers.count }, () => callUntilRefused(daemon.port, callers, createRandom(random.int(0x7fffffff)), count))
  while (count.answered < ANSWERED_BEFORE_STOP) await pause(random.int(50))
  daemon.child.kill('SIGTERM')
  const stoppedMs = performance.now()
  const [exitCode] = await exited as [number | null]
  const durationMs = performance.now() - stoppedMs
  await Promise.all(finished)
  t.log(`seed ${seed}: ${count.answered} answered, ${count.cut.length} cut, ${Math.round(durationMs)} ms`)
  t.deepEqual(count.cut, [])
  t.is(exitCode, 0)
  t.true(durationMs < STOP_TIMEOUT_MS)
}

const stopInParallel = async (t: ExecutionContext, callers: Callers, parallelCount: number): Promise<void> => {
  for (let first = 0; first < STOPS; first += parallelCount) {
    await Promise.all(Array.from({ length: parallelCount }, (_, index) => stopUnderLoad(t, callers, SEED + first + index)))
  }
}

test.serial('20 planned stops cut off no request and end in time', t => stopInParallel(t, KEEPING, PARALLEL_STOPS))

test.serial('20 planned stops cut off no request of callers that open connections until they are refused', t => stopInParallel(t, RECONNECTING, 1))
