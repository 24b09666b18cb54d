/**
 * Guards against bytes that end a running daemon, or that leave it with
 * connections or memory that it does not release: malformed requests, resets
 * and half-closed connections on each TCP port, and random datagrams.
 */
import { createSocket } from 'node:dgram'
import { readdirSync, readFileSync } from 'node:fs'
import { connect } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { startScenario, waitUntil, type FleetNode } from '../src/index.js'

const SEED = Number(process.env.FUZZ_SEED ?? 9_041)
const CONNECTIONS_PER_PORT = 250
const DATAGRAMS = 4_000
const PARALLEL = 10
/** Growth of the resident memory that is allowed after the last input; heaps grow before they are collected. */
const MEMORY_GROWTH_BYTES_MAX = 96 * 1024 * 1024
const SETTLE_TIMEOUT_MS = 15_000

type Ending = 'reset' | 'half-close' | 'close'
type Conversation = { parts: Uint8Array[], pauseMs: number, ending: Ending }

const METHODS = ['GET', 'POST', 'PUT', 'HEAD', 'OPTIONS', 'CONNECT', 'TRACE', 'PATCH', 'PRI', 'get', 'BREW', '']
const PATHS = ['/shop/items/1', '/shop/orders/1', '/shop/media/1', '/', '*', 'a:1', '//', '/%', '/shop/%00', 'http://h/shop/items/1', '/peer/head', '/metrics', '/status', `/${'x'.repeat(20_000)}`, '/.well-known/wisteriavalve/entry?zone=%']
const VERSIONS = ['HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/9', '']
const HEADERS = [
  'host: h', 'host: a\r\nhost: b', 'content-length: 5', 'content-length: -1', 'content-length: 99999999999999999999', 'content-length: 4\r\ncontent-length: 5',
  'transfer-encoding: chunked', 'transfer-encoding: gzip', 'transfer-encoding: chunked\r\ncontent-length: 3', 'connection: upgrade\r\nupgrade: websocket',
  'connection: close', 'connection: keep-alive, x', 'expect: 100-continue', 'expect: something', 'x-request-timeout-ms: 1', 'x-request-timeout-ms: x',
  'x-call-depth: 99', 'x-request-id: \u0001', 'x-fleet-nonce: n\r\nx-fleet-auth: a', ': empty', 'no colon', `x-long: ${'y'.repeat(9_000)}`, 'te: trailers\r\ntrailer: x'
]
const BODIES = ['', 'hello', '5\r\nhello\r\n0\r\n\r\n', '5\r\nhel', 'zz\r\n', 'ffffffffffffffff\r\n', `5;${'e'.repeat(5_000)}\r\nhello\r\n`, '0\r\nx-trailer: 1\r\n\r\n', '{"json":[', '\u0000\u0001\u0002']

const requestText = fc.tuple(
  fc.constantFrom(...METHODS), fc.constantFrom(...PATHS), fc.constantFrom(...VERSIONS),
  fc.array(fc.constantFrom(...HEADERS), { maxLength: 5 }), fc.constantFrom(...BODIES)
).map(([method, path, version, headers, body]) => Buffer.from(`${method} ${path} ${version}\r\n${headers.map(header => `${header}\r\n`).join('')}\r\n${body}`, 'latin1'))

const truncated = fc.tuple(requestText, fc.double({ min: 0, max: 1, noNaN: true })).map(([bytes, share]) => bytes.subarray(0, Math.floor(share * bytes.length)))

const conversation: fc.Arbitrary<Conversation> = fc.record({
  parts: fc.array(fc.oneof({ weight: 4, arbitrary: requestText }, { weight: 2, arbitrary: truncated }, { weight: 1, arbitrary: fc.uint8Array({ maxLength: 400 }) }), { minLength: 1, maxLength: 4 }),
  pauseMs: fc.constantFrom(0, 0, 1, 5, 20),
  ending: fc.constantFrom<Ending>('reset', 'half-close', 'close')
})

const pause = (durationMs: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, durationMs) })

/** Time after which a caller that half-closed its connection leaves. */
const HALF_CLOSED_MS = 50

const converse = ({ host, port }: { host: string, port: number }, { parts, pauseMs, ending }: Conversation): Promise<void> => new Promise(resolve => {
  const socket = connect({ host, port, allowHalfOpen: true })
  socket.on('error', () => undefined).on('close', () => resolve()).resume()
  socket.on('connect', async () => {
    for (const part of parts) {
      if (socket.destroyed) return
      socket.write(part)
      if (pauseMs > 0) await pause(pauseMs)
    }
    if (ending === 'reset') socket.resetAndDestroy()
    else if (ending === 'close') socket.destroy()
    else {
      socket.end()
      await pause(HALF_CLOSED_MS)
      socket.destroy()
    }
  })
})

const converseAll = async (address: { host: string, port: number }, conversations: readonly Conversation[]): Promise<void> => {
  for (let first = 0; first < conversations.length; first += PARALLEL) {
    await Promise.all(conversations.slice(first, first + PARALLEL).map(each => converse(address, each)))
  }
}

const sendDatagrams = async ({ host, gossipPort }: FleetNode, datagrams: readonly Uint8Array[]): Promise<void> => {
  const socket = createSocket('udp4')
  for (const datagram of datagrams) await new Promise<void>(resolve => { socket.send(datagram, gossipPort, host, () => resolve()) })
  socket.close()
}

const openFileCount = (pid: number): number => readdirSync(`/proc/${pid}/fd`).length
const residentBytes = (pid: number): number => Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) * 1024

test.serial('malformed bytes on any port neither end a daemon nor keep its connections or memory', async t => {
  t.log(`seed ${SEED}`)
  const scenario = await startScenario({ seed: SEED, nodeCount: 2 })
  t.teardown(scenario.close)
  const [node, other] = scenario.fleet.nodes as [FleetNode, FleetNode]
  for (let count = 0; count < 50; count++) await scenario.send('read', `before-${count}`, { node })
  const { pid } = node.process
  const filesBefore = openFileCount(pid)
  const memoryBefore = residentBytes(pid)
  const ports = { caller: node.callerPort, peer: node.vm.peerPort as number, admin: node.adminPort }
  const sampleOptions = { seed: SEED, numRuns: CONNECTIONS_PER_PORT }
  for (const [name, port] of Object.entries(ports)) {
    await converseAll({ host: node.host, port }, fc.sample(conversation, sampleOptions))
    t.true(node.process.isRunning(), `the daemon ended after the bytes on its ${name} port:\n${node.process.logLines().slice(-3).join('\n')}`)
  }
  await sendDatagrams(node, fc.sample(fc.uint8Array({ maxLength: 1_400 }), { seed: SEED, numRuns: DATAGRAMS }))
  t.true(node.process.isRunning(), 'the daemon ended after the datagrams')
  for (const each of [node, other]) t.is((await scenario.send('read', `after-${each.nodeId}`, { node: each })).result, 'in-time')
  t.is((await scenario.send('order', 'order-after', { node })).result, 'in-time')
  // Connections to targets and peers change by themselves, so a few more files than before are allowed.
  await waitUntil('the connections are closed', SETTLE_TIMEOUT_MS, async () => openFileCount(pid) <= filesBefore + 6)
  t.true(residentBytes(pid) - memoryBefore < MEMORY_GROWTH_BYTES_MAX, `memory grew by ${residentBytes(pid) - memoryBefore} bytes`)
  t.deepEqual(node.process.logLines().filter(line => /event=(daemon_failed|internal_error)/.test(line)), [])
})
