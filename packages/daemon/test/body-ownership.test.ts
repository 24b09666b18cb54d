/**
 * Guards against a body of which an attempt sends only a part with a proper end,
 * whichever code asked for the attempt.
 */
import type { IncomingMessage } from 'node:http'
import { PassThrough, Readable } from 'node:stream'
import test from 'ava'
import { openBackendSocket, sendRequest, type BackendSocket, type SendFailure } from '../src/adapters/backend-http.js'
import type { Call } from '../src/adapters/caller-http.js'
import type { OutgoingBody } from '../src/adapters/streamed-body.js'
import { createReadAhead } from '../src/read-ahead.js'
import { createRequestBody, type RequestBody } from '../src/request-body.js'
import { startRawBackend } from './support.js'
import './exit.js'

const KEPT_BYTES = 1_000

type ReceivedBody = { body: RequestBody, source: PassThrough }

/** A body whose bytes the test writes. */
const receiveBody = (readAhead = createReadAhead({ bodyBytesMax: 10_000, totalBytesMax: 10_000 }), headers: Record<string, string> = { 'transfer-encoding': 'chunked' }): ReceivedBody => {
  const source = Object.assign(new PassThrough(), { headers })
  const call = { req: source as unknown as IncomingMessage, expectsContinue: false } as Call
  const body = createRequestBody({ call, collectBytesMax: KEPT_BYTES, collectsUnknownSize: false, collectsAny: false, bytesMax: 1_000_000, readAhead, onTooLarge: () => undefined, onProgress: () => undefined })
  body.prepare(() => undefined)
  return { body, source }
}

const openStream = (body: RequestBody): Readable => {
  const opened = body.open()
  if (!opened.ok || opened.content === null || Buffer.isBuffer(opened.content)) throw new Error('the body is not a stream')
  return opened.content.stream
}

const readAll = async (stream: Readable): Promise<string> => {
  let text = ''
  for await (const chunk of stream) text += String(chunk)
  return text
}

const settle = (): Promise<void> => new Promise(resolve => { setTimeout(resolve, 20) })

test('a second opening of a body that an attempt reads is refused', t => {
  const { body } = receiveBody()
  openStream(body)
  t.false(body.canOpen())
  t.deepEqual(body.open(), { ok: false, error: 'body-consumed' })
})

test('a second opening of a body of which more was read than is kept is refused', async t => {
  const { body, source } = receiveBody()
  const first = openStream(body)
  source.write('.'.repeat(KEPT_BYTES + 1))
  await settle()
  first.destroy()
  t.deepEqual(body.open(), { ok: false, error: 'body-consumed' })
})

test('a second opening of a body after an attempt that read its beginning has all of it', async t => {
  const { body, source } = receiveBody()
  const first = openStream(body)
  source.write('begin')
  await settle()
  first.destroy()
  source.write('-between-')
  await settle()
  const second = openStream(body)
  source.end(`end${'.'.repeat(2 * KEPT_BYTES)}`)
  t.is(await readAll(second), `begin-between-end${'.'.repeat(2 * KEPT_BYTES)}`)
  t.deepEqual(body.open(), { ok: false, error: 'body-consumed' })
})

const LIMITS = { 'of one body': { bodyBytesMax: 2 * KEPT_BYTES, totalBytesMax: 100_000 }, 'of all bodies': { bodyBytesMax: 100_000, totalBytesMax: 2 * KEPT_BYTES } }

for (const [name, limits] of Object.entries(LIMITS)) {
  test(`a body that no attempt reads is read up to the limit ${name}, and whole when one does`, async t => {
    const readAhead = createReadAhead(limits)
    const { body, source } = receiveBody(readAhead)
    const text = '.'.repeat(KEPT_BYTES / 2)
    for (let count = 0; count < 20; count++) {
      source.write(text)
      await settle()
    }
    t.true(body.receivedBytes() >= 2 * KEPT_BYTES && body.receivedBytes() <= 2 * KEPT_BYTES + text.length)
    const stream = openStream(body)
    source.end()
    t.is(await readAll(stream), text.repeat(20))
    t.true(readAhead.tryTake(0, 2 * KEPT_BYTES), 'the memory is free again')
  })
}

test('a second opening of a body that was read ahead has all of it while nothing more was received', async t => {
  const readAhead = createReadAhead({ bodyBytesMax: 10_000, totalBytesMax: 10_000 })
  const { body, source } = receiveBody(readAhead)
  const text = 'a'.repeat(2 * KEPT_BYTES)
  source.write(text)
  await settle()
  openStream(body).destroy()
  const second = openStream(body)
  source.end('b')
  t.is(await readAll(second), `${text}b`)
  t.deepEqual(body.open(), { ok: false, error: 'body-consumed' })
  t.true(readAhead.tryTake(0, 10_000), 'the memory is free again')
})

test('a body whose request ends before an attempt frees its memory', async t => {
  const readAhead = createReadAhead({ bodyBytesMax: KEPT_BYTES, totalBytesMax: KEPT_BYTES })
  const { body, source } = receiveBody(readAhead)
  source.write('.'.repeat(KEPT_BYTES))
  await settle()
  t.false(readAhead.tryTake(0, 1))
  body.close()
  t.true(readAhead.tryTake(0, KEPT_BYTES))
})

const openTo = (port: number): Promise<BackendSocket> => new Promise((resolve, reject) => {
  openBackendSocket({ host: '127.0.0.1', port }, resolve, message => reject(new Error(message)))
})

/** Sends a body to a target and returns how that failed, and what the target got. */
const sendBody = async (body: OutgoingBody, onWritten = (): void => undefined): Promise<{ failure: SendFailure, received: string }> => {
  let received = ''
  const port = await startRawBackend((_socket, bytes) => { received = bytes })
  const opened = await openTo(port)
  const failure = await new Promise<SendFailure>((resolve, reject) => {
    sendRequest(opened, { method: 'POST', path: '/', headers: [], body }, {
      canWrite: () => true,
      onWritten,
      onBodyProgress: () => undefined,
      onHead: () => reject(new Error('the request was answered')),
      onData: () => true,
      onEnd: () => undefined,
      onFailure: resolve
    })
  })
  await settle()
  return { failure, received }
}

test('a body whose beginning is missing is not sent', async t => {
  const { failure, received } = await sendBody({ stream: Readable.from([Buffer.from('rest')], { objectMode: false }), receivedBytes: () => 100, isEnded: () => true })
  t.is(failure.kind, 'not-sent')
  t.is(received, '')
})

test('a body of which a part was not passed on gets no end', async t => {
  let receivedBytes = 4
  const stream = new Readable({ read: () => undefined })
  stream.push('part')
  const { failure, received } = await sendBody({ stream, receivedBytes: () => receivedBytes, isEnded: () => false }, () => {
    receivedBytes = 100
    stream.push(null)
  })
  t.is(failure.kind, 'lost')
  t.notRegex(received, /\r\n0\r\n\r\n/)
})
