/**
 * Plays random uploads, sent in pieces, sometimes behind each other and sometimes broken off, through two
 * nodes that relay to each other, to targets that answer, refuse and break off at
 * any moment and that all fail from time to time. Guards against a target that
 * takes other bytes for the whole body of a request than its caller sent.
 */
import test from 'ava'
import fc from 'fast-check'
import { createKind, createService, startDaemon, type TestDaemon } from './support.js'
import { findChangedBodies, sendPipelinedUploads, sleep, startUploadTarget, type BodyRead, type RespondToUpload, type UploadPlan, type UploadResult, type UploadTarget } from './uploads.js'
import './exit.js'

const SEED = Number(process.env.FUZZ_SEED ?? 47_001)
const UPLOADS = Number(process.env.FUZZ_UPLOADS ?? 400)
const PARALLEL = 24
const TARGETS = 5
const TIMEOUT_MS = 1_500
/** Keeps uploads that fail at once in a dark time from using up the run. */
const PAUSE_MS = 100
/** The list of peers is read at intervals. */
const PEERS_READ_MS = 300
/** Time for connections that break off to end. */
const SETTLE_MS = 300
/** Sizes around those up to which bodies are collected and pieces are read. */
const SIZES_BYTES = [0, 1, 900, 16_384, 65_536, 65_537, 200_000, 900_000]
const METHODS = ['POST', 'PUT', 'PATCH']

type Conduct = 'answers' | 'slow' | 'early-answer' | 'early-refusal' | 'refuses' | 'resets' | 'closes' | 'ends'

const CONDUCTS: Record<Conduct, RespondToUpload> = {
  answers: (req, res) => { req.on('end', () => res.end('stored')) },
  slow: (req, res) => {
    req.on('data', () => {
      req.pause()
      setTimeout(() => req.resume(), 2)
    }).on('end', () => res.end('stored'))
  },
  'early-answer': (_req, res) => { res.end('stored') },
  'early-refusal': (_req, res) => { res.writeHead(503, { 'x-request-not-run': 'true' }).end() },
  refuses: (req, res) => { req.on('end', () => res.writeHead(503, { 'x-request-not-run': 'true' }).end()) },
  resets: req => { req.once('data', () => req.socket.resetAndDestroy()) },
  closes: (req, res) => { req.on('end', () => res.writeHead(200, { connection: 'close' }).end('stored')) },
  ends: req => { req.on('end', () => req.socket.destroy()) }
}

const mostly = <T>(usual: T, ...others: T[]): fc.Arbitrary<T> => fc.oneof({ weight: 3, arbitrary: fc.constant(usual) }, { weight: 2, arbitrary: fc.constantFrom(...others) })

const conductArbitrary = mostly<Conduct>('answers', 'slow', 'early-answer', 'early-refusal', 'refuses', 'resets', 'closes', 'ends')

type Draft = Omit<UploadPlan, 'id' | 'path' | 'cut'> & {
  cutShare: number
  cutHow: 'none' | NonNullable<UploadPlan['cut']>['how']
  /** Whether the next upload is sent behind this one on the same connection. */
  isFollowed: boolean
}

const draftArbitrary: fc.Arbitrary<Draft> = fc.record({
  method: fc.constantFrom(...METHODS),
  sizeBytes: fc.constantFrom(...SIZES_BYTES),
  framing: fc.constantFrom('length', 'chunked'),
  pieceBytes: fc.constantFrom(7_000, 16_384, 65_536, 1_000_000),
  gapMs: fc.constantFrom(0, 0, 1, 3),
  cutShare: fc.double({ min: 0, max: 0.99, noNaN: true }),
  cutHow: mostly<Draft['cutHow']>('none', 'end', 'reset', 'malformed', 'half-chunk'),
  chunkExtension: mostly('', ';part=1', ';name="a;b"'),
  trailer: mostly(undefined, 'x-checksum: 1', 'content-length: 5'),
  expectsContinue: mostly(false, true),
  isFollowed: mostly(false, true)
})

const createPlan = ({ cutShare, cutHow, isFollowed, ...draft }: Draft, index: number): UploadPlan => ({
  ...draft,
  id: `u-${SEED}-${index}`,
  path: `/shop/${index}`,
  ...(cutHow !== 'none' && draft.sizeBytes > 0 && { cut: { afterBytes: Math.floor(cutShare * draft.sizeBytes), how: draft.framing === 'length' && cutHow !== 'end' ? 'reset' : cutHow } })
})

/** Uploads of one connection each, in their order. An upload that breaks off ends its connection. */
const groupByConnection = (drafts: readonly Draft[]): UploadPlan[][] => {
  const groups: UploadPlan[][] = []
  let isBehind = false
  for (const [index, draft] of drafts.entries()) {
    const plan = createPlan(draft, index)
    if (isBehind) groups.at(-1)?.push(plan)
    else groups.push([plan])
    isBehind = draft.isFollowed && plan.cut === undefined
  }
  return groups
}

type Dark = 'no' | 'resets' | 'refuses'

/** All targets reset or refuse all connections at once from time to time, so that nodes take themselves for cut off. */
const playDarkTimes = async (isOver: () => boolean, setDark: (dark: Dark) => void): Promise<void> => {
  for (let round = 0; !isOver(); round++) {
    await sleep(250)
    setDark(round % 2 === 0 ? 'refuses' : 'resets')
    await sleep(300 + 200 * (round % 4))
    setDark('no')
  }
}

/** Other tests do not listen at this address, so the targets find their ports free when they listen again. */
const TARGET_HOST = '127.47.0.1'

const enterDark = ({ server, port }: UploadTarget, dark: Dark): void => {
  if (dark === 'refuses') server.close()
  else if (!server.listening) server.listen(port, TARGET_HOST)
  if (dark !== 'no') server.closeAllConnections()
}

const startNode = (ports: readonly number[]): Promise<TestDaemon> => startDaemon([createService(ports, {
  slotsPerTarget: 64,
  targets: ports.map((port, index) => ({ id: `t${index + 1}`, host: TARGET_HOST, port, zone: 'a' })),
  kinds: [
    createKind({ name: 'store', methods: ['PATCH'], idempotent: false }),
    createKind({ name: 'upload', methods: ['POST'], idempotent: false, boundedBy: 'progress', deadlineMs: TIMEOUT_MS }),
    createKind({ name: 'replace', methods: ['PUT'] })
  ]
})])

const connectPeers = (node: TestDaemon, peer: TestDaemon): void => {
  node.fleet.members = () => [{ nodeId: `peer-${peer.port}`, incarnation: 1, state: 'alive', zone: 'a', host: '127.0.0.1', callerPort: peer.port, gossipPort: 1, peerPort: 1, loadPercent: 0 }]
}

test(`a target takes no other bytes for the whole body of an upload than its caller sent (seed ${SEED})`, async t => {
  const conducts = fc.sample(conductArbitrary, { seed: SEED, numRuns: 4 * UPLOADS })
  const connections = groupByConnection(fc.sample(draftArbitrary, { seed: SEED, numRuns: UPLOADS }))
  const reads: BodyRead[] = []
  const results: UploadResult[] = []
  let conductCount = 0
  let dark: Dark = 'no'
  const respond: RespondToUpload = (req, res, read) => {
    if (dark !== 'no') req.socket.resetAndDestroy()
    else CONDUCTS[conducts[conductCount++ % conducts.length] as Conduct](req, res, read)
  }
  const targets = await Promise.all(Array.from({ length: TARGETS }, (_, index) => startUploadTarget(t, `t${index + 1}`, reads, respond, { host: TARGET_HOST })))
  for (const { server } of targets) server.on('connection', socket => { if (dark !== 'no') socket.resetAndDestroy() })
  const nodes = await Promise.all([1, 2].map(() => startNode(targets.map(({ port }) => port))))
  const [first, second] = nodes as [TestDaemon, TestDaemon]
  connectPeers(first, second)
  connectPeers(second, first)
  await sleep(PEERS_READ_MS)

  const queue = [...connections]
  const sendQueued = async (): Promise<void> => {
    for (let plans = queue.shift(); plans; plans = queue.shift()) {
      const { port } = nodes[queue.length % nodes.length] as TestDaemon
      results.push(...await sendPipelinedUploads(port, plans, TIMEOUT_MS))
      await sleep(PAUSE_MS)
    }
  }
  const darkTimes = playDarkTimes(() => results.length === UPLOADS, value => {
    dark = value
    for (const target of targets) enterDark(target, value)
  })
  await Promise.all(Array.from({ length: PARALLEL }, sendQueued))
  await darkTimes
  await sleep(SETTLE_MS)

  const changed = findChangedBodies(results, reads)
  t.log(`${results.length} uploads, ${reads.filter(({ isWhole }) => isWhole).length} read whole, ${nodes.flatMap(({ lines }) => lines).filter(line => line.includes('relayed_by=')).length} lines of relayed requests`)
  for (const id of changed.map(text => text.split(' ')[0] as string)) t.log(nodes.flatMap(({ lines }) => lines).filter(line => line.includes(`request_id=${id} `)).join('\n'))
  t.deepEqual(changed, [])
})
