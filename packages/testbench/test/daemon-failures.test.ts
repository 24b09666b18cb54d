/**
 * Guards against requests that a paused daemon sends after their deadline, and
 * against callers that are not served any more when a daemon crashes.
 */
import test from 'ava'
import { checkRun, intendedStartMs, startScenario, countFailures, waitUntil } from '../src/index.js'

test.serial('a daemon that was paused with queued requests sends none of them after their deadline', async t => {
  const scenario = await startScenario({ seed: 41, targetCount: 1, slots: 1, connectionsPerTarget: 24, backend: { queueMax: 0 } })
  t.teardown(scenario.close)
  const node = scenario.fleet.nodes[0]
  const blocker = scenario.send('order', 'blocker', { query: 'service-ms=1500', changes: { deadlineMs: 3000 } })
  await scenario.record.waitFor(event => event.type === 'started' && event.requestId === 'blocker')
  const waiting = Array.from({ length: 8 }, (_, index) => scenario.send('order', `waiting-${index}`, { query: 'service-ms=1', changes: { deadlineMs: 1800 } }))
  await waitUntil('requests are queued', 5000, async () => Number((await node?.status())?.members.find(member => member.nodeId === node?.nodeId)?.loadPercent) > 100)
  node?.pause()
  await new Promise(resolve => { setTimeout(resolve, 2500) })
  node?.resume()
  const resumedMs = performance.timeOrigin + performance.now()
  const outcomes = await Promise.all([blocker, ...waiting])
  const late = scenario.record.events().filter(event => (event.type === 'started' || event.type === 'refused') && event.timeMs >= resumedMs - 100)
  t.deepEqual(late, [])
  t.like(checkRun(outcomes, scenario.record), { repeated: 0, wronglyNotRun: 0 })
  t.is((await scenario.send('read', 'after')).result, 'in-time')
})

test.serial('daemon killed: callers fail over to the other addresses of their entry answer', async t => {
  const scenario = await startScenario({ seed: 42, nodeCount: 3, entryLifetimeMs: 10_000 })
  t.teardown(scenario.close)
  const load = scenario.load({ ratePerS: 80, durationMs: 4000 })
  await scenario.record.waitFor(event => event.type === 'answered' && event.requestId === 'r-42-60')
  await scenario.fleet.nodes[0]?.kill()
  const killedMs = performance.timeOrigin + performance.now()
  const outcomes = await load.done
  const after = outcomes.filter(outcome => intendedStartMs(outcome) > killedMs + 100)
  t.true(after.length > 100)
  t.deepEqual(countFailures(after), {})
  t.like(checkRun(outcomes, scenario.record), { repeated: 0, foreign: 0, truncated: 0 })
})

test.serial('daemon killed: the others remove it from their entry answers', async t => {
  const scenario = await startScenario({ seed: 43, nodeCount: 3 })
  t.teardown(scenario.close)
  const [first, second] = scenario.fleet.nodes
  const listed = async (): Promise<number[]> => {
    const response = await fetch(`http://${second?.host}:${second?.callerPort}/.well-known/wisteriavalve/entry`)
    return ((await response.json()) as { addresses: { port: number }[] }).addresses.map(address => address.port)
  }
  await waitUntil('all nodes are listed', 20_000, async () => (await listed()).length === 3)
  await first?.kill()
  await waitUntil('the killed node is not listed', 20_000, async () => !(await listed()).includes(first?.callerPort ?? 0))
  t.is((await listed()).length, 2)
})
