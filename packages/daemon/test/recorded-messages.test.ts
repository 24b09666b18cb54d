/**
 * Guards against a release that rejects what earlier releases send, or sends what
 * they reject, while nodes are replaced one after the other. The messages were
 * recorded with landed releases; a change of the format adds recordings and keeps these.
 */
import test from 'ava'
import { createPeerRouter, type PeerRpcSource } from '../src/adapters/peer-rpc.js'
import { createDatagramCodec } from '../src/fleet/datagram-codec.js'
import { RECORDED_DATAGRAMS, RECORDED_FLEET } from './recorded-datagrams.js'
import './exit.js'

const codec = createDatagramCodec(RECORDED_FLEET)

for (const { kind, base64, message } of RECORDED_DATAGRAMS) {
  test(`a recorded datagram is read: ${kind}`, t => {
    const decoded = codec.decode(Buffer.from(base64, 'base64'))
    t.like(decoded, { ok: true, value: { from: RECORDED_FLEET.nodeId, bootId: RECORDED_FLEET.bootId } })
    t.deepEqual(decoded.ok && decoded.value.message, message)
  })

  test(`what a recorded datagram says is sent in the same bytes: ${kind}`, t => {
    const sequence = RECORDED_DATAGRAMS.findIndex(datagram => datagram.kind === kind) + 1
    t.is(Buffer.from(codec.encode(message, sequence)).toString('base64'), base64)
  })
}

test('a state and an observation that only a later release knows spoil nothing else in the datagram', t => {
  const { message } = RECORDED_DATAGRAMS.find(({ kind }) => kind === 'ack') as typeof RECORDED_DATAGRAMS[number]
  const [update] = message.updates
  const [note] = message.notes
  const later = { ...message, updates: [{ ...update, state: 'later' }, ...message.updates], notes: [{ ...note, observation: 'later' }, ...message.notes] }
  const decoded = codec.decode(codec.encode(later as typeof message, 1))
  t.deepEqual(decoded.ok && decoded.value.message, message)
})

/** Inputs of calls of landed releases; those of the first ones name neither a restore count nor a configuration. */
const RECORDED_CALLS: Record<'values' | 'vmList' | 'published' | 'changes' | 'permit', unknown[]> = {
  values: [['ab'.repeat(32)]],
  vmList: [{ ageMs: 1_200, hash: 'cd'.repeat(32) }],
  published: [{ revision: 5 }, { restoreCount: 1, revision: 5 }, { restoreCount: 1, revision: 5, configurationVersion: 4 }],
  changes: [{ afterRevision: 5, waitMs: 700 }, { restoreCount: 1, afterRevision: 5, waitMs: 700 }],
  permit: [
    { service: 'shop', targetId: 't1', nodeId: 'entry-1', statement: { limitPerS: 2.5, ageMs: 30 }, waitMaxMs: 400 },
    { service: 'shop', targetId: 't1', nodeId: 'entry-1', statement: { limitPerS: null, ageMs: 30 }, waitMaxMs: 400 }
  ]
}

const received: unknown[] = []
const answer = <T>(value: T) => (query: unknown): T => {
  received.push(query)
  return value
}

const source = {
  values: answer([]),
  vmList: () => null,
  published: answer(null),
  changes: async (query: unknown) => answer({ state: 'behind' as const })(query),
  permit: answer({ decision: 'granted' as const, delayMs: 0, statement: { limitPerS: null, ageMs: 0 } })
} as unknown as PeerRpcSource

for (const [procedure, inputs] of Object.entries(RECORDED_CALLS)) {
  for (const input of inputs) {
    test(`a recorded call is answered: ${procedure} ${JSON.stringify(input).slice(0, 100)}`, async t => {
      const caller = createPeerRouter(source).createCaller({}) as unknown as Record<string, (value: unknown) => Promise<unknown>>
      await t.notThrowsAsync(async () => (caller[procedure] as (value: unknown) => Promise<unknown>)(input))
    })
  }
}

test('a field that a later release adds to a call is ignored', async t => {
  const caller = createPeerRouter(source).createCaller({})
  await caller.published({ revision: 77, restoreCount: 0, laterField: 'x' } as never)
  t.deepEqual(received.at(-1), { revision: 77, restoreCount: 0, configurationVersion: undefined })
})
