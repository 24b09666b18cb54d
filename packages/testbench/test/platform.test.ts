/**
 * Guards against test doubles that lack limits and faults of the real platform:
 * watches that miss a write, revisions that are not reset by a restore, an
 * unlimited read rate.
 */
import test from 'ava'
import { createConfigurationService, createVmList } from '../src/index.js'

const read = async (url: string, key: string, query = '') => {
  const response = await fetch(`${url}/v1/kv/${key}${query}`)
  const rows = response.status === 200 ? await response.json() as { Value: string, ModifyIndex: number }[] : []
  return { status: response.status, index: Number(response.headers.get('x-consul-index')), row: rows[0] }
}

test('a watch responds when the key changes and counts as one read', async t => {
  const service = await createConfigurationService()
  t.teardown(service.close)
  const first = service.put('wisteriavalve/a/head', Buffer.from('one'))
  const watch = read(service.url, 'wisteriavalve/a/head', `?index=${first}&wait=60s`)
  while (service.counters().watchesWaiting === 0) await new Promise(resolve => { setImmediate(resolve) })
  const second = service.put('wisteriavalve/a/head', Buffer.from('two'))
  const answered = await watch
  t.is(Buffer.from(answered.row?.Value ?? '', 'base64').toString(), 'two')
  t.is(answered.row?.ModifyIndex, second)
  t.is(service.counters().reads, 1)
})

test('a restore from an old snapshot resets revisions', async t => {
  const service = await createConfigurationService()
  t.teardown(service.close)
  service.put('k', Buffer.from('old'))
  const copy = service.takeSnapshot()
  service.put('k', Buffer.from('new'))
  service.restore(copy)
  t.is((await read(service.url, 'k')).row?.ModifyIndex, 1)
  t.is(service.put('k', Buffer.from('other')), 2)
})

test('reads above the rate limit are refused with 429', async t => {
  const service = await createConfigurationService({ readsPerS: 5 })
  t.teardown(service.close)
  const answers = await Promise.all(Array.from({ length: 20 }, () => read(service.url, 'missing')))
  t.true(answers.filter(answer => answer.status === 429).length >= 10)
  t.true(answers.filter(answer => answer.status === 404).length >= 5)
})

test('a stale VM list does not contain changes until the fault ends', async t => {
  const list = await createVmList()
  t.teardown(list.close)
  const vm = { vmId: 'a', role: 'backend', service: 's', zone: 'z', host: '127.0.0.1', port: 1, state: 'live' } as const
  const readIds = async () => ((await (await fetch(list.url)).json()) as { vms: { vmId: string }[] }).vms.map(item => item.vmId)
  list.set([vm])
  list.setStale(true)
  list.remove('a')
  t.deepEqual(await readIds(), ['a'])
  list.setStale(false)
  t.deepEqual(await readIds(), [])
})
