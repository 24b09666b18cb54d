/**
 * The three machines that the settings name as seeds are lost. Two machines are added
 * afterwards; their seeds are down, as the settings may be. A server names a
 * Server-Limit in its answers. Counted are the requests that it gets in 4 s, summed
 * over the machines that had passed on such an answer half a second before.
 */
import { createConfiguration, createRecord, HAS_TROUBLE, isReady, nextAddress, nowMs, openStore, runCase, send, sleep, startLoad, startMachine, startServer, waitUntil } from '../lib-3.mjs'

const LIMIT_PER_S = 10
const WINDOW_MS = 4_000
const ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5
const STABLE_WINDOW_MS = 3_000
const TOLD_MS = 500
const LOAD_PER_S = 120

const record = createRecord(import.meta.url)

await runCase(record, async () => {
  const store = await openStore()
  store.put('op/config', createConfiguration(7))
  /** Time of the first answer with a limit that each machine passed on. */
  const toldMs = new Map()
  const arrivals = []
  let isLimited = false
  let statedMs = Infinity
  await startServer({
    id: 'i-1',
    service: 'registry',
    slots: 6,
    store,
    respond: ({ requestId, machine }) => {
      arrivals.push({ atMs: nowMs(), machine })
      record.add(`server i-1 runs ${requestId} of ${machine}${isLimited ? ` and names a limit of ${LIMIT_PER_S}` : ''}`)
      if (!isLimited) return {}
      statedMs = Math.min(statedMs, nowMs())
      return { headers: { 'server-limit': String(LIMIT_PER_S) } }
    }
  })
  const hosts = Array.from({ length: 8 }, nextAddress)
  const seeds = hosts.slice(0, 3)
  const start = (host, index) => startMachine({ host, zone: 'abc'[index % 3], seeds, store })
  const first = hosts.slice(0, 6).map(start)
  await waitUntil('all machines are ready', async () => (await Promise.all(first.map(isReady))).every(Boolean))
  await sleep(STABLE_WINDOW_MS)
  if (HAS_TROUBLE) {
    for (const machine of first.slice(0, 3)) {
      machine.kill()
      record.add(`machine ${machine.host} is lost`)
    }
  }
  await sleep(STABLE_WINDOW_MS)
  const added = hosts.slice(6).map((host, index) => startMachine({ host, zone: 'abc'[index], seeds, store, firstStart: false }))
  for (const { host } of added) record.add(`machine ${host} is added`)
  await waitUntil('the added machines are ready', async () => (await Promise.all(added.map(isReady))).every(Boolean))
  const machines = [...first.slice(3), ...added]
  await sleep(STABLE_WINDOW_MS)
  const load = startLoad(LOAD_PER_S, async number => {
    const answer = await send(machines[number % machines.length], `/read/${number}`)
    if (answer.status === 200 && isLimited && !toldMs.has(answer.machine)) toldMs.set(answer.machine, nowMs())
    return answer
  })
  await sleep(STABLE_WINDOW_MS)
  isLimited = true
  await sleep(STABLE_WINDOW_MS + 3 * WINDOW_MS)
  await load.stop()
  const counted = arrivals.filter(({ atMs, machine }) => atMs >= statedMs + STABLE_WINDOW_MS && atMs >= (toldMs.get(machine) ?? Infinity) + TOLD_MS)
  const worst = Math.max(0, ...counted.map(({ atMs }, index) => counted.slice(index).filter(other => other.atMs < atMs + WINDOW_MS).length))
  const byMachine = machines.map(({ host }) => counted.filter(({ machine }) => machine === host).length)
  const summary = `${worst} requests in ${WINDOW_MS / 1_000} s; allowed ${ALLOWED}; in all by machine, the added ones last: ${byMachine.join(', ')}`
  record.add(summary)
  console.log(summary)
  return worst > ALLOWED
})
