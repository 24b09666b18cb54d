/**
 * Guards against a sample client that repeats a request which may have run, that
 * tries one which crashes its backend servers at each node, or that keeps using
 * an address at which nothing listens any more.
 */
import type { RequestListener, ServerResponse } from 'node:http'
import { join } from 'node:path'
import { pathToFileURL } from 'node:url'
import test, { type ExecutionContext } from 'ava'
import { findClosedAddress, serve } from './fleet-double.js'
import { ROOT } from './support.js'

const { createCaller } = await import(pathToFileURL(join(ROOT, 'examples/caller-client.mjs')).href)

const toAddress = (text: string) => ({ host: text.split(':')[0], port: Number(text.split(':')[1]) })

/** Nodes with one handler each, in the order given. Every node serves the entry answer. */
const serveNodes = async (t: ExecutionContext, ...answers: ((res: ServerResponse) => void)[]) => {
  const seen: number[] = []
  const addresses: ReturnType<typeof toAddress>[] = []
  let entryCount = 0
  const node = (index: number): RequestListener => (req, res) => {
    if (req.url?.startsWith('/.well-known/wisteriavalve/entry?zone=lagos-a')) {
      entryCount++
      res.end(JSON.stringify({ addresses, lifetimeMs: 1000 }))
    } else {
      seen.push(index)
      answers[index]?.(res)
    }
  }
  for (const index of answers.keys()) addresses.push(toAddress(await serve(t, node(index))))
  return { addresses, seen, entryCount: () => entryCount }
}

const order = { method: 'POST', path: '/orderdesk/orders', body: '{}' }
const fail = (status: number, resultClass: string) => (res: ServerResponse): void => { res.writeHead(status, { 'x-result-class': resultClass }).end() }
const answer = (res: ServerResponse): void => { res.end('ok') }

test('after a refused request or a failed connection the next address is used', async t => {
  const nodes = await serveNodes(t, fail(503, 'not-run'), answer)
  nodes.addresses.splice(1, 0, toAddress(await findClosedAddress()))
  const { status } = await createCaller({ entries: [nodes.addresses[1], nodes.addresses[0]], zone: 'lagos-a' }).request(order)
  t.deepEqual([status, nodes.seen], [200, [0, 1]])
})

test('a request that may have run is sent once', async t => {
  for (const first of [fail(504, 'outcome-unknown'), fail(404, 'not-run'), (res: ServerResponse) => { res.destroy() }]) {
    const nodes = await serveNodes(t, first, answer)
    await createCaller({ entries: nodes.addresses, zone: 'lagos-a' }).request(order).catch(() => undefined)
    t.deepEqual(nodes.seen, [0])
  }
})

test('a request that crashes its backend servers is not tried at the next node', async t => {
  const refuse = (res: ServerResponse): void => { res.writeHead(503, { 'x-result-class': 'not-run', 'x-result-code': 'WV-1022' }).end() }
  const nodes = await serveNodes(t, refuse, answer)
  const { status } = await createCaller({ entries: nodes.addresses, zone: 'lagos-a' }).request(order)
  t.deepEqual([status, nodes.seen], [503, [0]])
})

test('the entry answer is used for its lifetime and then requested again', async t => {
  const nodes = await serveNodes(t, answer)
  let nowMs = 0
  const caller = createCaller({ entries: nodes.addresses, zone: 'lagos-a', nowMs: () => nowMs })
  for (nowMs of [0, 999, 1000]) await caller.request(order)
  t.deepEqual([nodes.seen.length, nodes.entryCount()], [3, 2])
})
