/**
 * Guards against a harmless request that becomes a suspect because a connection
 * was reset or a target left, against floods of notes on requests whose repeat
 * is answered, and against a suspect that the other nodes do not hear of.
 */
import { createManualClock } from '@wisteriavalve/common'
import type { TargetNote } from '@wisteriavalve/schema'
import test from 'ava'
import { completeExchange } from '../src/completion.js'
import { createCrashWatch, type SuspectEvent } from '../src/crash-watch.js'
import type { Attempt, Exchange } from '../src/exchange.js'
import { createDatagramCodec } from '../src/fleet/datagram-codec.js'
import type { PipelineContext } from '../src/pipeline-context.js'
import type { TargetCheckResult } from '../src/target-check.js'

type FakeExchange = Pick<Exchange, 'phase' | 'isAnswered'>

const createWatch = () => {
  const clock = createManualClock()
  const shared: TargetNote[] = []
  const events: SuspectEvent[] = []
  const checks: ((result: TargetCheckResult) => void)[] = []
  const draining = new Set<string>()
  const state = { isCutOff: false }
  const watch = createCrashWatch({
    clock,
    checkTarget: (_target, done) => { checks.push(done) },
    isCutOff: () => state.isCutOff,
    onSuspect: event => events.push(event),
    share: notes => shared.push(...notes)
  })
  const createExchange = (identity: string): Exchange => ({
    id: `id-${identity}`,
    phase: 'running',
    isAnswered: false,
    head: () => identity.padStart(16, '0'),
    body: { hash: () => '0'.repeat(16) },
    call: { address: '10.0.0.1' },
    runtime: { configuration: { name: 's' }, draining }
  } as unknown as Exchange)
  /** Loses the target of a request; the check of the target ends with the result. */
  const lose = (exchange: Exchange, targetId: string, result: TargetCheckResult = 'ended'): void => {
    watch.recordLost({ exchange, targetId, table: { target: (id: string) => ({ id, host: '127.0.0.1', port: 1, zone: 'a' }) } } as unknown as Attempt)
    for (const done of checks.splice(0)) done(result)
  }
  return { clock, watch, shared, events, checks, draining, state, createExchange, lose }
}

const settle = (exchange: Exchange, fields: Partial<FakeExchange>): void => { Object.assign(exchange, { phase: 'settled' }, fields) }

test('a request is no suspect when its target still accepts connections, does not answer at all, or was leaving', t => {
  const { watch, draining, lose, createExchange } = createWatch()
  const exchange = createExchange('a')
  lose(exchange, 't1', 'alive')
  lose(exchange, 't2', 'unknown')
  draining.add('t3')
  lose(exchange, 't3')
  t.false(watch.isSuspect(exchange))
})

test('a node that reaches no target takes no request for a suspect', t => {
  const { watch, state, lose, createExchange } = createWatch()
  state.isCutOff = true
  const exchange = createExchange('a')
  lose(exchange, 't1')
  t.false(watch.isSuspect(exchange))
})

test('a request whose repeat is answered is cleared, and the other nodes do not hear of it', t => {
  const { watch, shared, lose, createExchange } = createWatch()
  const exchange = createExchange('a')
  lose(exchange, 't1')
  t.true(watch.isSuspect(exchange))
  watch.recordAnswered(exchange)
  settle(exchange, { isAnswered: true })
  t.false(watch.isSuspect(exchange))
  t.deepEqual(shared, [])
})

test('a request that was answered before the check of its first target ended is no suspect', t => {
  const { watch, checks, createExchange } = createWatch()
  const exchange = createExchange('a')
  watch.recordLost({ exchange, targetId: 't1', table: { target: () => ({ id: 't1' }) } } as unknown as Attempt)
  settle(exchange, { isAnswered: true })
  for (const done of checks) done('ended')
  t.false(watch.isSuspect(exchange))
})

test('the other nodes hear of a suspect at its second crash, or when it ends without an answer', t => {
  const { watch, shared, lose, createExchange } = createWatch()
  const repeated = createExchange('a')
  lose(repeated, 't1')
  t.is(shared.length, 0)
  lose(repeated, 't2')
  t.deepEqual(shared.splice(0).map(({ targetId, ageMs }) => [targetId, ageMs]), [['t1', 0], ['t2', 0]])
  const failed = createExchange('b')
  lose(failed, 't3')
  settle(failed, {})
  watch.recordFailed(failed)
  t.deepEqual(shared.splice(0).map(({ targetId }) => targetId), ['t3'])
  const failedBefore = createExchange('c')
  settle(failedBefore, {})
  lose(failedBefore, 't4')
  t.deepEqual(shared.map(({ targetId }) => targetId), ['t4'])
})

test('all requests at a target that ended are suspects, and one check of it is enough', t => {
  const { watch, checks, createExchange } = createWatch()
  const exchanges = ['a', 'b', 'c'].map(createExchange)
  for (const exchange of exchanges) watch.recordLost({ exchange, targetId: 't1', table: { target: () => ({ id: 't1' }) } } as unknown as Attempt)
  t.is(checks.length, 1)
  checks[0]?.('ended')
  t.true(exchanges.every(watch.isSuspect))
})

test('a request is refused everywhere after three crashes that different nodes saw, and repeated nowhere after two', t => {
  const nodes = [createWatch(), createWatch(), createWatch()]
  for (const [index, node] of nodes.entries()) {
    const exchange = node.createExchange('a')
    t.is(node.watch.isRefused(exchange, 'first'), false)
    t.is(node.watch.isRefused(exchange, 'retry'), index === 2)
    settle(exchange, {})
    node.lose(exchange, `t${index}`)
    for (const other of nodes) if (other !== node) other.watch.applyNotes(node.shared)
  }
  for (const { watch, createExchange } of nodes) {
    t.true(watch.isRefused(createExchange('a'), 'first'))
    t.false(watch.isRefused(createExchange('b'), 'first'))
  }
})

test('a request that is answered at one node is no suspect at the others, although they never had an answer to it', t => {
  const [answering, other] = [createWatch(), createWatch()]
  for (const id of ['t1', 't2', 't3']) {
    const exchange = answering.createExchange('a')
    settle(exchange, {})
    answering.lose(exchange, id)
  }
  const running = createWatch()
  running.watch.applyNotes(answering.shared.slice(0, 2))
  other.watch.applyNotes(answering.shared)
  t.true(other.watch.isRefused(other.createExchange('a'), 'first'))
  running.watch.recordAnswered(running.createExchange('a'))
  other.watch.applyNotes(running.shared)
  t.false(other.watch.isRefused(other.createExchange('a'), 'first'))
  other.watch.applyNotes(answering.shared.map(note => ({ ...note, ageMs: 5 })))
  t.false(other.watch.isSuspect(other.createExchange('a')))
})

test('a node that has started learns what a peer knows, whatever its age', t => {
  const { clock, watch, lose, createExchange } = createWatch()
  const exchange = createExchange('a')
  for (const id of ['t1', 't2', 't3']) lose(exchange, id)
  clock.advance(120_000)
  const started = createWatch()
  started.watch.applyNotes(watch.notes())
  t.true(started.watch.isRefused(createExchange('a'), 'first'))
})

test('a note on a crash passes through a datagram unchanged', t => {
  const codec = createDatagramCodec({ fleet: 'f', fleetKey: 'a-key-of-sixteen-characters', nodeId: 'n', bootId: 1 })
  const note: TargetNote = { service: 's', targetId: 't', observation: 'dead', ageMs: 5, crashedRequest: '0123456789abcdef'.repeat(2) }
  const sender = { nodeId: 'n', incarnation: 1, state: 'alive' as const, zone: 'a', host: '127.0.0.1', callerPort: 1, gossipPort: 2, peerPort: 3 }
  const decoded = codec.decode(codec.encode({ type: 'ping', nonce: 1, sender, updates: [], notes: [note] }, 1))
  t.deepEqual(decoded.ok && decoded.value.message.notes, [note])
})

test('a request that a peer answered in the end leaves nothing behind that the other nodes are never told', t => {
  const { clock, watch, shared, lose, createExchange } = createWatch()
  const exchange = createExchange('a')
  lose(exchange, 't1')
  Object.assign(exchange, { attempts: [], phase: 'settled', call: { req: { complete: true } }, body: { ...exchange.body, close: () => undefined } })
  const attempt = { exchange, isRelay: true, status: 200, table: { recordOutcome: () => undefined } } as unknown as Attempt
  completeExchange({ clock, crashWatch: watch, wheel: { cancel: () => undefined }, recorder: { answered: () => undefined } } as unknown as PipelineContext, attempt)
  t.deepEqual(shared.map(({ targetId }) => targetId), ['t1'])
})
