/**
 * Guards the gossip and peer sockets against invalid datagrams and calls:
 * garbage, altered, replayed, too large, from another fleet or with another key.
 */
import test, { type ExecutionContext } from 'ava'
import { createSocket } from 'node:dgram'
import { encode } from '@msgpack/msgpack'
import fc from 'fast-check'
import { createRandom } from '@wisteriavalve/common'
import { DATAGRAM_BYTES_MAX } from '@wisteriavalve/fleet'
import { sampleConfiguration } from '@wisteriavalve/fleet/testing'
import type { GossipMessage, MemberUpdate } from '@wisteriavalve/schema'
import { createPeerAuth } from '../src/adapters/peer-auth.js'
import { createPeerClients } from '../src/adapters/peer-client.js'
import { createDatagramCodec, type CodecOptions } from '../src/fleet/datagram-codec.js'
import { createNodeSettings, startTestNode, waitUntil, type TestNode } from './fleet-nodes.js'
import { openPlatformDouble } from './platform-double.js'

const FLEET: CodecOptions = { fleet: 'okonkwo', fleetKey: 'a-test-key-of-the-fleet', nodeId: 'entry-77', bootId: 5 }

const createMember = (nodeId: string, state: MemberUpdate['state'] = 'alive'): MemberUpdate =>
  ({ nodeId, incarnation: 3, state, zone: 'lagos-a', host: '127.0.0.1', callerPort: 1, gossipPort: 9, peerPort: 3, loadPercent: 7 })

const createMessage = (fields: Partial<GossipMessage> = {}): GossipMessage => ({
  type: 'ping',
  nonce: 2 ** 47,
  sender: createMember('entry-77'),
  updates: [createMember('entry-78', 'suspect')],
  notes: [{ service: 's', targetId: 't', observation: 'dead', ageMs: 3, inFlight: 2, byProbe: true }, { service: 's', targetId: 'u', observation: 'answering', ageMs: 4, limitPerS: 5.3 }, { service: 's', targetId: 'v', observation: 'answering', ageMs: 5, pauseMs: 3_000 }, { service: 's', targetId: 'w', observation: 'draining', ageMs: 6, isStated: true }],
  configuration: { restoreCount: 1, revision: 99, headHash: 'ab'.repeat(32) },
  ...fields
})

test('a message keeps all its fields, and its computed size is an upper bound', t => {
  const codec = createDatagramCodec(FLEET)
  for (const sent of [createMessage(), createMessage({ type: 'ping-request', subject: 'entry-5', configuration: undefined, updates: [], notes: [] })]) {
    const bytes = codec.encode(sent, 12)
    const decoded = codec.decode(bytes)
    t.true(decoded.ok && decoded.value.sequence === 12)
    if (decoded.ok) t.deepEqual(decoded.value.message, JSON.parse(JSON.stringify(sent)))
    t.true(bytes.length <= codec.sizeBytes(sent))
  }
})

test('altered, foreign and garbage datagrams are rejected, and no input makes the codec throw', t => {
  const codec = createDatagramCodec(FLEET)
  const bytes = codec.encode(createMessage(), 1)
  const rejectionReason = (given: Uint8Array): string => {
    const decoded = codec.decode(given)
    return decoded.ok ? 'taken' : decoded.error
  }
  t.is(rejectionReason(createDatagramCodec({ ...FLEET, fleet: 'authority' }).encode(createMessage(), 1)), 'other-fleet')
  t.is(rejectionReason(createDatagramCodec({ ...FLEET, fleetKey: 'another-key-of-16' }).encode(createMessage(), 1)), 'not-authentic')
  t.is(rejectionReason(createDatagramCodec({ ...FLEET, nodeId: 'entry-1' }).encode(createMessage(), 1)), 'malformed')
  t.is(rejectionReason(new Uint8Array(DATAGRAM_BYTES_MAX + 1)), 'too-large')
  t.is(rejectionReason(encode({ fleet: 'okonkwo' })), 'malformed')
  const invalid = { ...createMessage(), nonce: -4 }
  t.is(rejectionReason(codec.encode(invalid, 1)), 'malformed')
  const seed = 515
  t.log(`fast_check_seed=${seed}`)
  fc.assert(fc.property(fc.nat(bytes.length - 1), fc.integer({ min: 1, max: 255 }), (at, mask) => {
    const altered = Uint8Array.from(bytes)
    altered[at] = (altered[at] as number) ^ mask
    return rejectionReason(altered) !== 'taken'
  }), { seed, numRuns: 2000 })
  fc.assert(fc.property(fc.uint8Array({ maxLength: 1300 }), garbage => rejectionReason(garbage) !== 'taken'), { seed, numRuns: 2000 })
})

/** A running node, and a socket that sends datagrams to it. */
const startNodeWithSocket = async (t: ExecutionContext): Promise<{ node: TestNode, send: (bytes: Uint8Array) => void }> => {
  const platform = await openPlatformDouble()
  platform.publish(sampleConfiguration())
  const node = await startTestNode(createNodeSettings(0, platform.url))
  const socket = createSocket('udp4')
  t.teardown(async () => { socket.close(); await node.runtime.stop(); await platform.close() })
  const { port, host } = node.settings.gossipListen
  return { node, send: bytes => socket.send(bytes, port, host) }
}

test.serial('foreign, replayed and garbage datagrams to a running node change nothing, are counted, and give one log line', async t => {
  const { node, send } = await startNodeWithSocket(t)
  const codec = createDatagramCodec(FLEET)
  const own = codec.encode(createMessage(), 4)
  const foreign = createDatagramCodec({ ...FLEET, fleet: 'authority' }).encode(createMessage(), 1)
  for (const bytes of [own, own, own, foreign, Buffer.from('garbage'), new Uint8Array(1400)]) send(bytes)
  const count = (name: string): number => node.runtime.counters()[name] ?? 0
  await waitUntil('all are counted', () => count('gossip_received') === 6)
  t.is(count('gossip_rejected_replayed'), 2)
  t.is(count('gossip_rejected_other_fleet'), 1)
  t.is(count('gossip_rejected_malformed'), 1)
  t.is(count('gossip_rejected_too_large'), 1)
  t.deepEqual(node.notes, [])
  t.deepEqual(node.runtime.members().map(({ nodeId }) => nodeId), ['entry-0'])
  t.is(node.logs.filter(({ event }) => event === 'gossip_rejected').length, 1)
})

test.serial('signed messages with unusual contents do not end a running node', async t => {
  const { node, send } = await startNodeWithSocket(t)
  const codec = createDatagramCodec(FLEET)
  const text = fc.oneof(fc.constantFrom('entry-0', 'entry-77', '127.0.0.1', '256.1.1.1', '::1', 'not a host', '__proto__'), fc.string({ minLength: 1, maxLength: 20 }))
  const integer = fc.oneof({ weight: 300, arbitrary: fc.integer({ min: 1, max: 999 }) }, { weight: 1, arbitrary: fc.constantFrom(0, 65_536, Number.MAX_SAFE_INTEGER, -1, 0.5, NaN) })
  const update = fc.record({
    nodeId: text, incarnation: integer, state: fc.constantFrom<MemberUpdate['state']>('alive', 'leaving', 'suspect', 'dead'), zone: text, host: text, callerPort: integer, gossipPort: integer, peerPort: integer, loadPercent: integer
  })
  const note = fc.record({ service: text, targetId: text, observation: fc.constantFrom<'draining' | 'dead' | 'answering'>('draining', 'dead', 'answering'), ageMs: integer, inFlight: integer })
  const message = fc.record<GossipMessage>({
    type: fc.constantFrom('ping', 'ack', 'ping-request'),
    nonce: integer,
    subject: text,
    sender: update.map(sender => ({ ...sender, nodeId: FLEET.nodeId })),
    updates: fc.array(update, { maxLength: 4 }),
    notes: fc.array(note, { maxLength: 4 }),
    configuration: fc.record({ restoreCount: integer, revision: integer, headHash: fc.constant('ab'.repeat(32)) })
  })
  const seed = 516
  t.log(`fast_check_seed=${seed}`)
  const messages = fc.sample(message, { seed, numRuns: 3_000 })
  let sequence = 1
  for (const each of messages) {
    send(codec.encode(each, sequence++))
    // Lets the node, which runs in this process, read the datagram.
    await new Promise(setImmediate)
  }
  await waitUntil('datagrams are processed', () => (node.runtime.counters().gossip_received ?? 0) > 0.9 * messages.length)
  // Suspicions, indirect pings and calls to the new members run some time later.
  await new Promise(resolve => { setTimeout(resolve, 3_000) })
  t.true((node.runtime.counters().gossip_rejected_malformed ?? 0) < messages.length / 2, 'most messages are valid')
  t.is(node.runtime.configuration()?.order.revision, node.adopted[0]?.order.revision)
})

test.serial('datagrams received during a pause of the process are dropped', async t => {
  const platform = await openPlatformDouble()
  const node = await startTestNode(createNodeSettings(0, platform.url))
  const socket = createSocket('udp4')
  t.teardown(async () => { socket.close(); await node.runtime.stop(); await platform.close() })
  const { port, host } = node.settings.gossipListen
  await new Promise(resolve => { socket.send(createDatagramCodec(FLEET).encode(createMessage(), 4), port, host, resolve) })
  const incarnation = node.runtime.members()[0]?.incarnation as number
  // Blocks this thread and therefore the node, as a pause of the process does.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700)
  await waitUntil('the datagram is dropped', () => node.runtime.counters().gossip_rejected_late === 1)
  t.true((node.runtime.members()[0]?.incarnation ?? 0) > incarnation)
})

test('calls and responses without the fleet key are rejected, and a response is bound to its request', async t => {
  const platform = await openPlatformDouble()
  platform.publish(sampleConfiguration())
  const node = await startTestNode(createNodeSettings(0, platform.url))
  const clients = [createPeerClients(createPeerAuth('okonkwo', 'a-test-key-of-the-fleet')), createPeerClients(createPeerAuth('okonkwo', 'another-key-of-16'))] as const
  t.teardown(async () => { await Promise.all([...clients.map(client => client.close()), node.runtime.stop()]); await platform.close() })
  await waitUntil('adopted', () => node.adopted.length === 1)
  const address = { host: node.settings.advertiseHost, peerPort: node.settings.peerListen.port }
  const head = await clients[0].to(address).head.query()
  t.is(head?.revision, node.adopted[0]?.order.revision)
  await t.throwsAsync(clients[1].to(address).head.query(), { message: /not authentic/ })
  t.is((await fetch(`http://${address.host}:${address.peerPort}/peer/head`)).status, 401)
  t.is(node.runtime.counters().peer_rejected, 2)
  const random = createRandom(1)
  const auth = createPeerAuth('okonkwo', `key-${random.next()}`)
  t.not(auth.signResponse('a', 200, 'body'), auth.signResponse('b', 200, 'body'))
})
