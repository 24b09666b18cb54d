/**
 * Support for tests of uploads: bodies that show where their bytes belong,
 * callers that send them in pieces, and a record of what targets read of them.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import type { ExecutionContext } from 'ava'

/** Number of bytes after which the text of a body changes. */
const LINE_BYTES = 16
const HALF_CHUNK_BYTES = 100
const LOAD_REPORT = 'TEXT named_metrics.in_flight=1,named_metrics.slots=4'

/** Body of which each line names the request and the place of the line. */
export const createUploadBody = (id: string, sizeBytes: number): Buffer => {
  const lineCount = Math.ceil(sizeBytes / LINE_BYTES)
  const lines = Array.from({ length: lineCount }, (_, line) => `${id}:${line}`.padEnd(LINE_BYTES - 1, '.') + '\n')
  return Buffer.from(lines.join('')).subarray(0, sizeBytes)
}

/** What one target read of the body of one request. */
export type BodyRead = { id: string, target: string, bytes: Buffer, isWhole: boolean }

export type Upload = { id: string, body: Buffer, isSentWhole: boolean }

/** Describes each body that a target took for whole and that was not sent like that, or that is no beginning of what was sent. */
export const findChangedBodies = (uploads: readonly Upload[], reads: readonly BodyRead[]): string[] => {
  const byId = new Map(uploads.map(upload => [upload.id, upload]))
  return reads.flatMap(({ id, target, bytes, isWhole }) => {
    const upload = byId.get(id)
    if (!upload) return [`${id} at ${target}: nobody sent it`]
    const { body, isSentWhole } = upload
    const isBeginning = body.subarray(0, bytes.length).equals(bytes)
    const text = `${id} at ${target}: ${bytes.length} of ${body.length} bytes`
    if (!isBeginning) return [`${text}, not its beginning, ${isWhole ? 'whole' : 'broken off'}`]
    if (isWhole && (!isSentWhole || bytes.length < body.length)) return [`${text}, taken for whole`]
    return []
  })
}

export type UploadTarget = { name: string, port: number, server: ReturnType<typeof createServer> }

export type RespondToUpload = (req: IncomingMessage, res: ServerResponse, read: BodyRead) => void

/** Target that records what it reads of each body, and leaves reading and answering to `respond`. */
export const startUploadTarget = async (
  t: ExecutionContext, name: string, reads: BodyRead[], respond: RespondToUpload, { probeDelayMs = 0, host = '127.0.0.1' } = {}
): Promise<UploadTarget> => {
  const server = createServer((req, res) => {
    // A probe.
    if (req.method === 'GET') {
      setTimeout(() => res.setHeader('endpoint-load-metrics', LOAD_REPORT).end(), probeDelayMs)
      return
    }
    const id = String(req.headers['x-request-id'])
    res.setHeader('x-request-id', id)
    const read: BodyRead = { id, target: name, bytes: Buffer.alloc(0), isWhole: false }
    const chunks: Buffer[] = []
    const update = (): void => { read.bytes = Buffer.concat(chunks) }
    reads.push(read)
    req.on('data', (chunk: Buffer) => chunks.push(chunk)).on('error', update).on('close', update).on('end', () => {
      update()
      read.isWhole = req.complete
    })
    res.on('error', () => undefined)
    respond(req, res, read)
  })
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return { name, port: (server.address() as AddressInfo).port, server }
}

/** Target that answers each request when it has read its body. */
export const respondAfterBody: RespondToUpload = (req, res) => { req.on('end', () => { res.end('stored') }) }

export type UploadFraming = 'length' | 'chunked'

export type UploadPlan = {
  id: string
  method: string
  path: string
  sizeBytes: number
  framing: UploadFraming
  pieceBytes: number
  gapMs: number
  /** Time between the head and the first piece. */
  waitMs?: number
  /** What the first piece waits for. */
  waitFor?: Promise<unknown>
  /** Number of bytes after which the caller leaves, and how; a body that is sent whole has none. */
  cut?: { afterBytes: number, how: 'end' | 'reset' | 'malformed' | 'half-chunk' }
  headers?: readonly string[]
  /** Text behind the size of each chunk. */
  chunkExtension?: string
  /** Header line behind the last chunk. */
  trailer?: string
  /** Whether the body waits for a first answer of the node, for a limited time. */
  expectsContinue?: boolean
}

export type UploadResult = Upload & {
  received: string
  /** From the start of the connection to the first byte of the answer; Infinity without one. */
  answeredAfterMs: number
}

export const sleep = (durationMs: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, durationMs) })

const frame = (piece: Buffer, { framing, chunkExtension = '' }: UploadPlan): Buffer =>
  framing === 'length' ? piece : Buffer.concat([Buffer.from(`${piece.length.toString(16)}${chunkExtension}\r\n`), piece, Buffer.from('\r\n')])

const write = (socket: Socket, bytes: Buffer | string): Promise<void> => new Promise(resolve => {
  if (socket.destroyed || !socket.writable) resolve()
  else socket.write(bytes, () => resolve())
})

/** @param rest bytes that the caller does not send, or not as a whole chunk */
const breakOff = async (socket: Socket, how: NonNullable<UploadPlan['cut']>['how'], rest: Buffer): Promise<void> => {
  if (how === 'malformed') await write(socket, 'zz\r\n')
  if (how === 'half-chunk') await write(socket, Buffer.concat([Buffer.from('ffff\r\n'), rest.subarray(0, HALF_CHUNK_BYTES)]))
  if (how === 'reset') socket.resetAndDestroy()
  else socket.end()
}

const sendPieces = async (socket: Socket, plan: UploadPlan, body: Buffer): Promise<void> => {
  const { framing, pieceBytes, gapMs, cut, trailer } = plan
  const endBytes = cut?.afterBytes ?? body.length
  for (let place = 0; place < endBytes && !socket.destroyed; place += pieceBytes) {
    await write(socket, frame(body.subarray(place, Math.min(place + pieceBytes, endBytes)), plan))
    if (gapMs > 0) await sleep(gapMs)
  }
  if (cut) await breakOff(socket, cut.how, body.subarray(endBytes))
  else if (framing === 'chunked') await write(socket, `0\r\n${trailer === undefined ? '' : `${trailer}\r\n`}\r\n`)
}

const headOf = (plan: UploadPlan, timeoutMs: number, isLast: boolean): string => [
  `${plan.method} ${plan.path} HTTP/1.1`,
  'host: a',
  `x-request-id: ${plan.id}`,
  `x-request-timeout-ms: ${timeoutMs}`,
  plan.framing === 'length' ? `content-length: ${plan.sizeBytes}` : 'transfer-encoding: chunked',
  ...isLast ? ['connection: close'] : [],
  ...plan.expectsContinue ? ['expect: 100-continue'] : [],
  ...plan.headers ?? []
].join('\r\n') + '\r\n\r\n'

const nextData = (socket: Socket): Promise<void> => new Promise(resolve => { socket.once('data', () => resolve()) })

/** Time for which a caller waits for the node to ask for a body. */
const CONTINUE_WAIT_MS = 100

/**
 * Sends uploads behind each other on a connection of their own, without waiting for
 * answers between them; ends with the connection. Only the last one may break off.
 */
export const sendPipelinedUploads = async (port: number, plans: readonly UploadPlan[], timeoutMs: number): Promise<UploadResult[]> => {
  const bodies = plans.map(({ id, sizeBytes }) => createUploadBody(id, sizeBytes))
  const socket = connect(port, '127.0.0.1')
  const startMs = performance.now()
  let received = ''
  let answeredAfterMs = Infinity
  const closed = new Promise<void>(resolve => { socket.once('close', () => resolve()) })
  const timer = setTimeout(() => socket.destroy(), 2 * timeoutMs * plans.length)
  socket.on('error', () => undefined).on('data', chunk => {
    received += chunk.toString('latin1')
    answeredAfterMs = Math.min(answeredAfterMs, performance.now() - startMs)
  })
  for (const [index, plan] of plans.entries()) {
    await write(socket, headOf(plan, timeoutMs, index === plans.length - 1))
    if (plan.expectsContinue) await Promise.race([nextData(socket), closed, sleep(CONTINUE_WAIT_MS)])
    await plan.waitFor
    if (plan.waitMs !== undefined) await sleep(plan.waitMs)
    await sendPieces(socket, plan, bodies[index] as Buffer)
  }
  await closed
  clearTimeout(timer)
  return plans.map(({ id, cut }, index) => ({ id, body: bodies[index] as Buffer, isSentWhole: cut === undefined, received, answeredAfterMs }))
}

/** Sends one upload on a connection of its own; ends with the connection. */
export const sendUpload = async (port: number, plan: UploadPlan, timeoutMs: number): Promise<UploadResult> => {
  const [result] = await sendPipelinedUploads(port, [plan], timeoutMs)
  return result as UploadResult
}
