/**
 * Guards against a request that reaches more targets than its route allows,
 * because the node that relays it and the node that it is relayed to each count
 * their own attempts only.
 */
import { request, type RequestListener } from 'node:http'
import type { Server, Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { DEFAULT_DIALECT } from '../src/http-dialect.js'
import { call, createKind, createService, startBackend, startDaemon, type TestDaemon } from './support.js'
import './exit.js'

const ATTEMPTS_MAX = 2
/** Not every platform has a header for the number of further attempts. */
const DIALECT = { ...DEFAULT_DIALECT, retryAllowanceHeader: undefined }
const READ = createKind({ attemptsMax: ATTEMPTS_MAX })
/** First attempts end one after the other, so some of them before and some after the node takes itself for cut off. */
const FIRST_END_MS = 100
const END_INTERVAL_MS = 60
const REQUEST_COUNT = 12
/** The list of peers is read at intervals. */
const PEERS_READ_MS = 300
/** Ports on which nothing listens. */
const CLOSED_PORTS = [1, 2, 3]

type Arrivals = Map<string, string[]>

const startTarget = (name: string, arrivals: Arrivals, respond: RequestListener): Promise<number> => startBackend((req, res) => {
  const id = String(req.headers['x-request-id'])
  arrivals.set(id, [...(arrivals.get(id) ?? []), name])
  respond(req, res)
})

const setPeers = (daemon: TestDaemon, ports: readonly number[]): void => {
  daemon.fleet.members = () => ports.map((port, index) =>
    ({ nodeId: `peer-${index}`, incarnation: 1, state: 'alive' as const, zone: 'a', host: '127.0.0.1', callerPort: port, gossipPort: 1, peerPort: 1, loadPercent: 0 }))
}

const sleep = (durationMs: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, durationMs) })

/** Targets that stop to listen, and close the connection of a request without an answer, each a little later than the one before. */
const createClosing = (): RequestListener => {
  let count = 0
  return req => {
    const socket = req.socket as Socket & { server: Server }
    setTimeout(() => socket.server.close(), FIRST_END_MS / 2)
    setTimeout(() => socket.destroy(), FIRST_END_MS + END_INTERVAL_MS * count++)
  }
}

/** Requests with paths of their own: the same one at several targets that end would be taken for a request that crashes them. */
const sendRequests = (port: number): Promise<unknown> =>
  Promise.all(Array.from({ length: REQUEST_COUNT }, (_, index) => call(port, { path: `/shop/${index}`, headers: { 'x-request-id': `r-${index}` } })))

const assertAttempts = (t: ExecutionContext, arrivals: Arrivals): void => {
  const tooMany = [...arrivals].filter(([, names]) => names.length > ATTEMPTS_MAX).map(([id, names]) => `${id}: ${names.join(', ')}`)
  t.deepEqual(tooMany, [])
}

test('a request that a node relays after an attempt of its own reaches no more targets than its route allows', async t => {
  const arrivals: Arrivals = new Map()
  const fail: RequestListener = (_req, res) => { res.writeHead(500).end() }
  const peerTargets = await Promise.all(['p1', 'p2', 'p3'].map(name => startTarget(name, arrivals, fail)))
  const peer = await startDaemon([createService(peerTargets, { kinds: [READ] })], { dialect: DIALECT })
  const close = createClosing()
  const ownTargets = await Promise.all(['o1', 'o2', 'o3'].map(name => startTarget(name, arrivals, close)))
  const node = await startDaemon([createService(ownTargets, { kinds: [READ] })], { dialect: DIALECT })
  setPeers(node, [peer.port])
  await sleep(PEERS_READ_MS)
  await sendRequests(node.port)
  const names = [...arrivals.values()]
  t.true(names.some(each => each[0]?.startsWith('o') && each.some(name => name.startsWith('p'))), 'no request was relayed after an own attempt')
  assertAttempts(t, arrivals)
})

test('a request whose relays are lost one after the other reaches no more targets than its route allows', async t => {
  const arrivals: Arrivals = new Map()
  const targets = await Promise.all(['p1', 'p2', 'p3'].map(name => startTarget(name, arrivals, (_req, res) => { res.writeHead(500).end() })))
  const peer = await startDaemon([createService(targets, { kinds: [READ] })], { dialect: DIALECT })
  /** Passes requests on to the peer and closes the connection instead of answering. */
  const startLossyPeer = (): Promise<number> => startBackend((req, res) => {
    request({ host: '127.0.0.1', port: peer.port, path: req.url, method: req.method, headers: req.headers, agent: false })
      .on('response', response => response.resume().on('end', () => res.destroy()))
      .on('error', () => res.destroy())
      .end()
  })
  const node = await startDaemon([createService(CLOSED_PORTS, { kinds: [READ] })], { dialect: DIALECT })
  setPeers(node, [await startLossyPeer(), await startLossyPeer(), await startLossyPeer()])
  await sleep(PEERS_READ_MS)
  await sendRequests(node.port)
  t.true(arrivals.size > 0, 'no request was relayed')
  assertAttempts(t, arrivals)
})

test('a peer that refuses a relayed request as not run uses none of its attempts', async t => {
  const received: string[] = []
  const startPeer = (respond: RequestListener): Promise<number> => startBackend((req, res) => {
    received.push(String(req.headers['x-relayed-attempts']))
    respond(req, res)
  })
  const refuse: RequestListener = (_req, res) => { res.writeHead(503, { 'x-result-code': 'WV-1021', 'x-result-class': 'not-run' }).end() }
  const node = await startDaemon([createService(CLOSED_PORTS, { kinds: [READ] })], { dialect: DIALECT })
  setPeers(node, [await startPeer(refuse), await startPeer(refuse)])
  await sleep(PEERS_READ_MS)
  t.is((await call(node.port)).status, 503)
  t.deepEqual(received, ['2', '2'])
})

test('a caller cannot raise the number of attempts of its route', async t => {
  const arrivals: Arrivals = new Map()
  const targets = await Promise.all(['t1', 't2', 't3', 't4'].map(name => startTarget(name, arrivals, (_req, res) => { res.writeHead(500).end() })))
  const node = await startDaemon([createService(targets, { kinds: [READ] })], { dialect: DIALECT })
  await call(node.port, { headers: { 'x-request-id': 'r-1', 'x-relayed-by': 'x', 'x-relayed-attempts': '9' } })
  await call(node.port, { headers: { 'x-request-id': 'r-2', 'x-relayed-by': 'x', 'x-relayed-attempts': '1' } })
  t.is(arrivals.get('r-1')?.length, 2)
  t.is(arrivals.get('r-2')?.length, 1)
})
