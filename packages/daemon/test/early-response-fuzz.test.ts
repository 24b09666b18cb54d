/**
 * Plays random answers of targets that come while an upload is still being written:
 * heads, parts, ends, resets and half-closes at each moment. Guards against an answer
 * that ends the process, that reaches the caller with other bytes than the target
 * sent, or of which a part looks whole.
 */
import type { Socket } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { chunksOf, readAnswers } from './received-answers.js'
import { call, createKind, createService, startBackend, startDaemonProcess, startRawBackend } from './support.js'
import { createUploadBody, sendUpload, sleep, type UploadPlan } from './uploads.js'
import './exit.js'

const SEED = Number(process.env.FUZZ_SEED ?? 60_001)
const UPLOADS = Number(process.env.FUZZ_UPLOADS ?? 160)
const PARALLEL = 32
/** A target that fails is left out for a time. */
const TARGETS = 60
const DEADLINE_MS = 500
/** Time after which a caller gives up, half of it for the request. An upload that takes as long has no end. */
const TIMEOUT_MS = 4_000
const UPLOAD_BYTES = 400_000

const mostly = <T>(usual: T, ...others: T[]): fc.Arbitrary<T> => fc.oneof({ weight: 2, arbitrary: fc.constant(usual) }, { weight: 3, arbitrary: fc.constantFrom(...others) })

type Answer = {
  status: string
  framing: 'none' | 'length' | 'chunked'
  closes: boolean
  bodyBytes: number
  /** Share of the answer that is sent. */
  sentShare: number
  informationalHeads: readonly string[]
  /** Whether the same answer is sent again right behind, if it is sent whole. */
  isDoubled: boolean
}

type Conduct = {
  answer: Answer
  /** Share of the upload that the target reads before it answers; it reads no further unless `readsOn`. */
  readShare: number
  readsOn: boolean
  /** Places at which the answer is split, as shares of its bytes. */
  cuts: number[]
  gapMs: number
  finish: 'stay' | 'end' | 'reset'
  finishDelayMs: number
}

const answerArbitrary: fc.Arbitrary<Answer> = fc.record({
  status: mostly('200', '201', '404', '500', '503', '999', '000'),
  framing: fc.constantFrom('none', 'length', 'chunked'),
  closes: fc.boolean(),
  bodyBytes: fc.constantFrom(0, 5, 3_000, 30_000, 90_000, 400_000),
  sentShare: fc.oneof({ weight: 3, arbitrary: fc.constant(1) }, { weight: 1, arbitrary: fc.double({ min: 0, max: 0.99, noNaN: true }) }),
  informationalHeads: fc.oneof({ weight: 4, arbitrary: fc.constant<string[]>([]) }, { weight: 1, arbitrary: fc.array<string>(fc.constantFrom('102 Processing', '103 Early Hints', '100 Continue'), { maxLength: 3 }) }),
  isDoubled: mostly(false, false, true)
})

const conductArbitrary: fc.Arbitrary<Conduct> = fc.record({
  answer: answerArbitrary,
  readShare: fc.constantFrom(0, 0, 0.1, 0.5, 1),
  readsOn: fc.boolean(),
  cuts: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 3 }),
  gapMs: fc.constantFrom(0, 1, 20),
  finish: fc.constantFrom('stay', 'end', 'reset'),
  finishDelayMs: fc.constantFrom(0, 0, 1, 5, 20, 100, 400)
})

type Draft = Pick<UploadPlan, 'method' | 'framing' | 'pieceBytes' | 'gapMs' | 'expectsContinue'> & { leavesAt: number | undefined, leaves: 'end' | 'reset' }

const draftArbitrary: fc.Arbitrary<Draft> = fc.record({
  method: mostly('POST', 'PUT', 'POST'),
  framing: fc.constantFrom('length', 'chunked'),
  pieceBytes: fc.constantFrom(10_000, 40_000, 400_000),
  gapMs: fc.constantFrom(0, 2, 6),
  expectsContinue: mostly(false, false, true),
  leavesAt: mostly<number | undefined>(undefined, undefined, 0.2, 0.8),
  leaves: fc.constantFrom('end', 'reset')
})

const createPlan = ({ leavesAt, leaves, ...draft }: Draft, id: string): UploadPlan => ({
  ...draft, id, path: `/shop/${id}`, sizeBytes: UPLOAD_BYTES, ...(leavesAt !== undefined && { cut: { afterBytes: leavesAt * UPLOAD_BYTES, how: leaves } })
})

const responseBody = (id: string, { bodyBytes }: Answer): string => createUploadBody(`r-${id}`, bodyBytes).toString('latin1')

const formatAnswer = (id: string, answer: Answer): string => {
  const body = responseBody(id, answer)
  const framing = { none: '', length: `content-length: ${body.length}\r\n`, chunked: 'transfer-encoding: chunked\r\n' }[answer.framing]
  const payload = answer.framing === 'chunked' ? `${chunksOf(body, 1_000)}0\r\n\r\n` : body
  return `HTTP/1.1 ${answer.status} OK\r\nx-request-id: ${id}\r\n${answer.closes ? 'connection: close\r\n' : ''}${framing}\r\n${payload}`
}

const bytesOf = (id: string, answer: Answer): Buffer => {
  const text = formatAnswer(id, answer)
  const sent = text.slice(0, Math.floor(answer.sentShare * text.length))
  return Buffer.from(answer.informationalHeads.map(line => `HTTP/1.1 ${line}\r\n\r\n`).join('') + sent + (answer.isDoubled && answer.sentShare === 1 ? sent : ''), 'latin1')
}

/** All bytes behind the head of the answer. */
const bytesBehindHead = (id: string, answer: Answer): string => {
  const bytes = bytesOf(id, { ...answer, informationalHeads: [] }).toString('latin1')
  const headEnd = bytes.indexOf('\r\n\r\n')
  return headEnd < 0 ? '' : bytes.slice(headEnd + 4)
}

/** Whether a caller may receive the answer as a whole one. */
const mayBeWhole = ({ answer: { framing, sentShare }, finish }: Conduct): boolean => framing === 'none' ? finish === 'end' : sentShare === 1

const playConduct = async (socket: Socket, id: string, { answer, cuts, gapMs, finish, finishDelayMs }: Conduct): Promise<void> => {
  const bytes = bytesOf(id, answer)
  const places = [...cuts.map(share => Math.floor(share * bytes.length)).sort((a, b) => a - b), bytes.length]
  let start = 0
  for (const place of places) {
    if (socket.destroyed) return
    socket.write(bytes.subarray(start, place))
    start = place
    if (gapMs > 0) await sleep(gapMs)
  }
  if (finishDelayMs > 0) await sleep(finishDelayMs)
  if (finish === 'end') socket.end()
  else if (finish === 'reset') socket.resetAndDestroy()
}

const HEAD = /^[A-Z]+ \/shop\/(\S+) HTTP\/1\.1\r\n[^]*?\r\n\r\n/

const startTarget = (conductOf: (id: string) => Conduct, runs: string[]): Promise<number> => {
  const answered = new Set<Socket>()
  return startRawBackend((socket, received) => {
    const [head, id] = HEAD.exec(received) ?? []
    if (head === undefined || id === undefined || answered.has(socket)) return
    const conduct = conductOf(id)
    if (received.length - head.length < conduct.readShare * UPLOAD_BYTES) return
    answered.add(socket)
    runs.push(id)
    if (!conduct.readsOn) socket.pause()
    playConduct(socket, id, conduct).catch(() => undefined)
  })
}

/** Describes what is wrong with the bytes that a caller has received. */
const findFaults = (id: string, conduct: Conduct, received: string): string[] => {
  const { answer } = conduct
  const answers = readAnswers(received).filter(({ status }) => status !== '100')
  const faults = answers.length > 1 ? [`${answers.length} answers`] : []
  const sent = answer.framing === 'none' ? bytesBehindHead(id, answer) : responseBody(id, answer)
  for (const { status, fields, body, isWhole } of answers) {
    if (/x-result-class: /i.test(fields)) continue
    if (status !== answer.status || status === '999' || status === '000') faults.push(`status ${status}`)
    if (!sent.startsWith(body)) faults.push('the bytes are not those of the target')
    else if (isWhole && !(mayBeWhole(conduct) && body === sent)) faults.push(`${body.length} of ${sent.length} bytes look whole`)
  }
  return faults.map(text => `${id}: ${text}, ${JSON.stringify(conduct)}`)
}

test(`random answers to uploads that are still being written harm no request (seed ${SEED})`, async t => {
  const conducts = fc.sample(conductArbitrary, { seed: SEED, numRuns: UPLOADS })
  const drafts = fc.sample(draftArbitrary, { seed: SEED, numRuns: UPLOADS })
  const runs: string[] = []
  const conductOf = (id: string): Conduct => conducts[Number(id.slice(1))] as Conduct
  const ports = await Promise.all(Array.from({ length: TARGETS }, () => startTarget(conductOf, runs)))
  const sound = await startBackend((_req, res) => { res.end('ok') })
  const services = [
    createService([sound], { name: 'sound', pathPrefix: '/sound', kinds: [createKind({ path: '/sound/**' })] }),
    createService(ports, {
      slotsPerTarget: 64,
      kinds: [createKind({ methods: ['PUT'], deadlineMs: DEADLINE_MS }), createKind({ name: 'upload', methods: ['POST'], idempotent: false, deadlineMs: DEADLINE_MS })]
    })
  ]
  const daemons = [await startDaemonProcess(t, services), await startDaemonProcess(t, services, { TEST_ENDS_BY_CLOSE: 'true' })]
  const faults: string[] = []
  let wholeCount = 0
  let next = 0
  const sendSequence = async (): Promise<void> => {
    for (let number = next++; number < UPLOADS; number = next++) {
      const id = `f${number}`
      const startMs = performance.now()
      const { received } = await sendUpload((daemons[number % 4 === 0 ? 0 : 1] as typeof daemons[number]).port, createPlan(drafts[number] as Draft, id), TIMEOUT_MS)
      if (performance.now() - startMs >= 2 * TIMEOUT_MS) faults.push(`${id}: no end`)
      faults.push(...findFaults(id, conductOf(id), received))
      if (readAnswers(received).some(({ fields, isWhole }) => isWhole && !/x-result-class/i.test(fields))) wholeCount++
    }
  }
  await Promise.all(Array.from({ length: PARALLEL }, sendSequence))
  t.log(`${UPLOADS} uploads, ${runs.length} at targets, ${wholeCount} whole answers`)
  t.deepEqual(faults, [])
  for (const { port, child, lines } of daemons) {
    t.is(child.exitCode, null, lines.find(line => line.includes('daemon_failed')))
    t.is((await call(port, { path: '/sound/x' })).status, 200)
    t.deepEqual(lines.filter(line => /request_fault|library_exception/.test(line)), [])
  }
  // Uploads that a busy machine delays reach no target before their deadline.
  t.true(runs.length > UPLOADS / 4 && wholeCount > UPLOADS / 20, 'too few answers were played')
})
