/**
 * Plays random and mutated responses of a target to callers that read, do not
 * read, leave and pipeline, beside requests of a sound service. Guards against
 * responses that end the process, leave a request without an answer, reach another
 * request, look whole and are not, let an order run twice, or count as not run
 * although the request has run.
 */
import { connect, type Socket } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { chunksOf, readAnswers } from './received-answers.js'
import { call, createKind, createService, formatOwnResponse, startDaemonProcess, startRawBackend } from './support.js'
import './exit.js'

const SEED = Number(process.env.FUZZ_SEED ?? 39_001)
const CALLS = Number(process.env.FUZZ_CALLS ?? 250)
const PARALLEL = 12
const DEADLINE_MS = 600
/** Time after the deadline in which each request must have its end. */
const LATE_MS = 500
const LEAVE_AFTER_MS = 40
const PIPELINED = 3

type Framing = 'length' | 'length-close' | 'too-long' | 'chunked' | 'chunked-broken' | 'chunk-bytes' | 'close' | 'reset' | 'version-1.0'
type Plan = {
  status: string
  phrase: string
  ids: 'own' | 'other' | 'none' | 'own-and-other'
  isMarked: boolean
  framing: Framing
  bodyBytes: number
  /** Places at which the bytes are split, as shares of their number. */
  cuts: number[]
  gapMs: number
  after: 'nothing' | 'junk' | 'again' | 'end' | 'reset'
  isSilent: boolean
  informationalHeads: number
}

const mostly = <T>(usual: T, ...others: T[]): fc.Arbitrary<T> => fc.oneof({ weight: 4, arbitrary: fc.constant(usual) }, { weight: 3, arbitrary: fc.constantFrom(...others) })

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  status: mostly('200', '000', '050', '100', '101', '204', '304', '404', '500', '503', '429', '600', '999', '2x0', '99'),
  phrase: mostly('OK', '', 'O\xcb', '\x00', '\x7f', '\xe2\x82\xac', 'x'.repeat(300)),
  ids: mostly('own', 'other', 'none', 'own-and-other'),
  isMarked: mostly(false, true),
  framing: mostly<Framing>('length', 'length-close', 'too-long', 'chunked', 'chunked-broken', 'chunk-bytes', 'close', 'reset', 'version-1.0'),
  bodyBytes: fc.constantFrom(0, 5, 3_000, 20_000, 90_000),
  cuts: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 4 }),
  gapMs: fc.constantFrom(0, 1, 20),
  after: mostly('nothing', 'junk', 'again', 'end', 'reset'),
  isSilent: mostly(false, false, true),
  informationalHeads: mostly(0, 1, 3, 30)
})

type Behaviour = 'reads' | 'silent' | 'leaves' | 'pipelines'
type FuzzCall = { method: 'GET' | 'POST', behaviour: Behaviour }

const callArbitrary: fc.Arbitrary<FuzzCall> = fc.record({ method: fc.constantFrom('GET', 'POST'), behaviour: mostly('reads', 'silent', 'leaves', 'pipelines') })

const bodyOf = (id: string, sizeBytes: number): string => `${id}:`.padEnd(Math.max(sizeBytes, id.length + 1), '.')

const FRAMES: Record<Framing, (body: string) => string> = {
  length: body => `content-length: ${body.length}\r\n\r\n${body}`,
  'length-close': body => `connection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  'too-long': body => `connection: close\r\ncontent-length: ${body.length + 50}\r\n\r\n${body}`,
  chunked: body => `transfer-encoding: chunked\r\n\r\n${chunksOf(body, 1_000)}0\r\nx-trailer: 1\r\n\r\n`,
  'chunked-broken': body => `transfer-encoding: chunked\r\n\r\n${chunksOf(body, 1_000)}zz\r\n`,
  'chunk-bytes': body => `transfer-encoding: chunked\r\n\r\n${chunksOf(body, 1)}0\r\n\r\n`,
  close: body => `\r\n${body}`,
  reset: body => `\r\n${body}`,
  'version-1.0': body => `\r\n${body}`
}

const formatPlan = (plan: Plan, id: string): string => {
  const idLines = { own: [id], other: ['other'], none: [], 'own-and-other': [id, 'other'] }[plan.ids].map(value => `x-request-id: ${value}\r\n`)
  const head = `HTTP/1.${plan.framing === 'version-1.0' ? 0 : 1} ${plan.status} ${plan.phrase}\r\n${idLines.join('')}${plan.isMarked ? 'x-request-not-run: true\r\n' : ''}`
  return 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'.repeat(plan.informationalHeads) + head + FRAMES[plan.framing](bodyOf(id, plan.bodyBytes))
}

/** Whether the target refuses the request and says so in a way that no bytes of another answer can imitate. */
const isRefusal = ({ isMarked, status }: Plan): boolean => isMarked && (status === '503' || status === '429')

const pause = (durationMs: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, durationMs) })

const playPlan = async (socket: Socket, plan: Plan, id: string): Promise<void> => {
  if (plan.isSilent) return
  const bytes = Buffer.from(formatPlan(plan, id), 'latin1')
  const places = [...plan.cuts.map(share => Math.floor(share * bytes.length)).sort((a, b) => a - b), bytes.length]
  let start = 0
  for (const place of places) {
    if (socket.destroyed) return
    socket.write(bytes.subarray(start, place))
    start = place
    if (plan.gapMs > 0) await pause(plan.gapMs)
  }
  if (socket.destroyed) return
  if (plan.framing === 'reset' || plan.after === 'reset') socket.resetAndDestroy()
  else if (plan.framing === 'close' || plan.framing === 'version-1.0' || plan.framing === 'too-long' || plan.after === 'end') socket.end()
  else if (plan.after === 'junk') socket.write('junk\r\n')
  else if (plan.after === 'again') socket.write(bytes)
}

const REQUEST = /(?:GET|POST) \/shop\/\S+ HTTP\/1\.1\r\n[^]*?\r\n\r\n/g

type Run = { id: string, isRefused: boolean, framing: Framing }

/** Framings that no answer can be made of which looks whole. */
const NEVER_WHOLE: ReadonlySet<Framing> = new Set(['too-long', 'chunked-broken', 'reset'])

/** Starts a target that plays the next plan for each request. */
const startFuzzedBackend = (nextPlan: () => Plan, runs: Run[]): Promise<number> => {
  const handledCounts = new WeakMap<Socket, number>()
  return startRawBackend((socket, received) => {
    const requests = [...received.matchAll(REQUEST)]
    const handledCount = handledCounts.get(socket) ?? 0
    handledCounts.set(socket, requests.length)
    for (const [head] of requests.slice(handledCount)) {
      const id = /x-request-id: (\S+)/i.exec(head)?.[1] ?? ''
      const plan = nextPlan()
      runs.push({ id, isRefused: isRefusal(plan), framing: plan.framing })
      playPlan(socket, plan, id).catch(() => undefined)
    }
  })
}

type Outcome = { ids: string[], method: string, received: string, isEnded: boolean, durationMs: number }

const formatRequest = (method: string, id: string, isLast: boolean): string =>
  `${method} /shop/${id} HTTP/1.1\r\nhost: a\r\nx-request-id: ${id}\r\nx-request-timeout-ms: ${DEADLINE_MS}\r\n${isLast ? 'connection: close\r\n' : ''}${method === 'POST' ? 'content-length: 0\r\n' : ''}\r\n`

/** Plays one caller; ends with its connection, or when the connection should have ended. */
const playCaller = (port: number, { method, behaviour }: FuzzCall, ids: string[]): Promise<Outcome> => new Promise(resolve => {
  const startMs = performance.now()
  const socket = connect(port, '127.0.0.1')
  let received = ''
  const settle = (isEnded: boolean): void => {
    clearTimeout(timer)
    socket.destroy()
    resolve({ ids, method, received, isEnded, durationMs: performance.now() - startMs })
  }
  const timer = setTimeout(() => settle(behaviour === 'silent'), DEADLINE_MS + LATE_MS)
  socket.on('error', () => undefined).once('close', () => settle(true))
  socket.write(ids.map((id, index) => formatRequest(method, id, index === ids.length - 1)).join(''))
  if (behaviour === 'silent') socket.pause()
  else socket.on('data', chunk => { received += chunk.toString('latin1') })
  if (behaviour === 'leaves') setTimeout(() => socket.destroy(), LEAVE_AFTER_MS)
})

/** Describes what is wrong with the answers of a caller that read to the end. */
const checkAnswers = ({ ids, method, received }: Outcome, runs: readonly Run[]): string[] => {
  const faults: string[] = []
  const answers = readAnswers(received)
  if (answers.length > ids.length) faults.push(`${ids.join()}: ${answers.length} answers`)
  answers.forEach(({ status, fields, body, isWhole }, index) => {
    const id = ids[index] ?? ''
    const runsOfId = runs.filter(run => run.id === id)
    const resultClass = /x-result-class: (\S+)/i.exec(fields)?.[1]
    if (!fields.toLowerCase().includes(`x-request-id: ${id}`.toLowerCase())) faults.push(`${id}: the answer has another id`)
    if (resultClass === 'not-run' && method === 'POST' && runsOfId.some(({ isRefused }) => !isRefused)) faults.push(`${id}: ran and was reported as not run (${status})`)
    if (resultClass !== undefined || body === '') return
    const own = bodyOf(id, body.length)
    if (isWhole ? body !== own : !own.startsWith(body)) faults.push(`${id}: the body is of another request: ${body.slice(0, 30)}`)
    if (isWhole && runsOfId.every(({ framing }) => NEVER_WHOLE.has(framing))) faults.push(`${id}: a part of a body looks whole`)
  })
  return faults
}

test(`random responses harm no request (seed ${SEED})`, async t => {
  const plans = fc.sample(planArbitrary, { seed: SEED, numRuns: 4 * CALLS })
  const calls = fc.sample(callArbitrary, { seed: SEED, numRuns: CALLS })
  const runs: Run[] = []
  let planCount = 0
  const nextPlan = (): Plan => plans[planCount++ % plans.length] as Plan
  const ports = await Promise.all([1, 2, 3].map(() => startFuzzedBackend(nextPlan, runs)))
  const good = await startRawBackend((socket, received) => { setTimeout(() => socket.write(formatOwnResponse(received)), 2) })
  const daemon = await startDaemonProcess(t, [
    createService([good], { name: 'good', pathPrefix: '/good', slotsPerTarget: 32, kinds: [createKind({ path: '/good/**' })] }),
    createService(ports, {
      slotsPerTarget: 64,
      kinds: [createKind({ deadlineMs: DEADLINE_MS }), createKind({ name: 'order', methods: ['POST'], idempotent: false, deadlineMs: DEADLINE_MS })]
    })
  ], { TEST_ENDS_BY_CLOSE: 'true' })
  const load = { isOver: false }
  const soundStatuses: number[] = []
  const sendSound = async (): Promise<void> => {
    while (!load.isOver) {
      soundStatuses.push(await call(daemon.port, { path: '/good/x' }).then(({ status }) => status, () => 0))
      await pause(10)
    }
  }
  const sound = sendSound()
  const outcomes: { fuzzCall: FuzzCall, outcome: Outcome }[] = []
  let next = 0
  const sendSequence = async (): Promise<void> => {
    for (let number = next++; number < CALLS; number = next++) {
      const fuzzCall = calls[number] as FuzzCall
      const count = fuzzCall.behaviour === 'pipelines' ? PIPELINED : 1
      const ids = Array.from({ length: count }, (_, index) => `f${number}-${index}`)
      outcomes.push({ fuzzCall, outcome: await playCaller(daemon.port, fuzzCall, ids) })
    }
  }
  await Promise.all(Array.from({ length: PARALLEL }, sendSequence))
  load.isOver = true
  await sound
  const faults: string[] = []
  for (const { fuzzCall, outcome } of outcomes) {
    if (!outcome.isEnded) faults.push(`${outcome.ids.join()} ${fuzzCall.method} ${fuzzCall.behaviour}: no end after ${Math.round(outcome.durationMs)} ms`)
    if (fuzzCall.behaviour === 'reads' || fuzzCall.behaviour === 'pipelines') faults.push(...checkAnswers(outcome, runs))
    if (fuzzCall.method !== 'POST') continue
    for (const id of outcome.ids) {
      const runCount = runs.filter(run => run.id === id && !run.isRefused).length
      if (runCount > 1) faults.push(`${id}: an order ran ${runCount} times`)
    }
  }
  t.log(`${outcomes.length} calls, ${runs.length} requests at targets, ${soundStatuses.length} sound requests`)
  t.is(daemon.child.exitCode, null, daemon.lines.filter(line => line.includes('daemon_failed')).join('\n'))
  t.deepEqual(faults, [])
  t.deepEqual(soundStatuses.filter(status => status !== 200), [])
  t.false(daemon.lines.some(line => line.includes('request_fault')), daemon.lines.find(line => line.includes('request_fault')))
})
