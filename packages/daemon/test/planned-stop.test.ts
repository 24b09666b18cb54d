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
const CALLERS = 12
/** Together, the callers send some hundred requests a second. */
const PAUSE_MS_MAX = 40
const SERVICE_MS = 5
/** New connections are refused after this time times 1.2. */
const ENTRY_LIFETIME_MS = 400
const STOP_TIMEOUT_MS = 8_000
const LOAD_BEFORE_STOP_MS = 300

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

const MESSAGES: readonly Message[] = [
  { parts: [GET], requestCount: 1 },
  { parts: [ORDER_REQUEST], requestCount: 1 },
  { parts: [GET + GET + GET], requestCount: 3 },
  { parts: UPLOAD_PARTS, requestCount: 1 }
]

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
const useConnection = async (socket: Socket, random: Random, count: Count): Promise<void> => {
  for (let requestCount = 0; ; requestCount++) {
    const message = MESSAGES[random.int(MESSAGES.length)] as Message
    const { isAnswered, isClosing, received } = await exchange(socket, message)
    if (isAnswered) count.answered++
    else count.cut.push(`${requestCount === 0 ? 'new' : 'kept'} connection, ${message.parts[0]?.slice(0, 20)}, received ${JSON.stringify(received)}`)
    if (!isAnswered || isClosing || random.next() < 0.1) break
    await pause(random.int(PAUSE_MS_MAX))
  }
  socket.destroy()
}

const callUntilRefused = async (port: number, random: Random, count: Count): Promise<void> => {
  for (;;) {
    const socket = await openConnection(port)
    if (!socket) return
    await useConnection(socket, random, count)
    await pause(random.int(PAUSE_MS_MAX))
  }
}

const startWorkingBackend = (): Promise<number> => startBackend((req, res) => {
  req.resume().on('end', () => setTimeout(() => res.end('done'), SERVICE_MS))
})

const stopUnderLoad = async (t: ExecutionContext, seed: number): Promise<void> => {
  const service = createService([await startWorkingBackend(), await startWorkingBackend()], { slotsPerTarget: 16, kinds: [createKind(), ORDER, UPLOAD] })
  const daemon = await startDaemonProcess(t, [service], { TEST_ENTRY_LIFETIME_MS: String(ENTRY_LIFETIME_MS), WISTERIAVALVE_STOP_TIMEOUT_MS: String(STOP_TIMEOUT_MS) })
  const exited = once(daemon.child, 'exit')
  const count: Count = { answered: 0, cut: [] }
  const random = createRandom(seed)
  const callers = Array.from({ length: CALLERS }, () => callUntilRefused(daemon.port, createRandom(random.int(0x7fffffff)), count))
  await pause(LOAD_BEFORE_STOP_MS + random.int(50))
  daemon.child.kill('SIGTERM')
  const stoppedMs = performance.now()
  const [exitCode] = await exited as [number | null]
  const durationMs = performance.now() - stoppedMs
  await Promise.all(callers)
  t.log(`seed ${seed}: ${count.answered} answered, ${count.cut.length} cut, ${Math.round(durationMs)} ms`)
  t.true(count.answered > 50)
  t.deepEqual(count.cut, [])
  t.is(exitCode, 0)
  t.true(durationMs < STOP_TIMEOUT_MS)
}

test.serial('20 planned stops cut off no request and end in time', async t => {
  for (let first = 0; first < STOPS; first += PARALLEL_STOPS) {
    await Promise.all(Array.from({ length: PARALLEL_STOPS }, (_, index) => stopUnderLoad(t, SEED + first + index)))
  }
})
