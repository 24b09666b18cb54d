/**
 * Callers send two safe requests in a row on kept connections to one node. Half of the targets break off
 * 2 % of their answers. Counts the first requests of such pairs that a sound target was running, and whose
 * connection the node closed without an answer to them, because the answer behind broke off.
 */
import net from 'node:net'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, createAnswerReader, createRecord, freeIp, headText, nextId, nowMs, PORTS, requestText, route, sleep, startNode, startStore, startTarget, TROUBLE, waitReady } from '../lib-2.mjs'

const TARGETS = 8
const FAULTY_TARGETS = 4
const BROKEN_SHARE = 0.02
const LOAD_MS = 45_000
const CALLERS = 30
const DEADLINE_MS = 1_000
const WORK_MEAN_MS = 120
const ALLOWED = 3

const record = createRecord(dirname(fileURLToPath(import.meta.url)))
/** Runs by request id. */
const runs = new Map()
const lost = []
const counts = { pairs: 0, answered: 0, closed: 0, broken: 0 }

const respondOf = isFaulty => ({ req, res, requestId, headers }) => {
  const run = { isFaulty, fromMs: nowMs(), toMs: Infinity, isStopped: false }
  runs.set(requestId, [...runs.get(requestId) ?? [], run])
  record.add('runs', { id: requestId, faulty: isFaulty })
  res.once('close', () => { if (run.toMs === Infinity) { run.toMs = nowMs(); run.isStopped = true; record.add('stopped, its connection closed', { id: requestId }) } })
  setTimeout(() => {
    if (run.isStopped) return
    run.toMs = nowMs()
    const body = requestId.padEnd(5_000, '.')
    if (TROUBLE && isFaulty && Math.random() < BROKEN_SHARE) {
      counts.broken++
      record.add('its answer is broken off', { id: requestId })
      req.socket.end(headText(200, { 'Content-Length': body.length, ...headers() }) + body.slice(0, 2_500))
      return
    }
    res.writeHead(200, { 'Content-Length': body.length, ...headers() }).end(body)
  }, WORK_MEAN_MS * (0.3 + 1.4 * Math.random()))
}

/** One caller: pairs of requests on one connection, and a new connection when it is closed. */
const runCaller = async (ip, endMs) => {
  while (nowMs() < endMs) {
    const socket = net.connect(PORTS.front, ip)
    socket.setNoDelay(true)
    let waiting = []
    let wake = () => {}
    const state = { isClosed: false }
    const reader = createAnswerReader({
      onAnswer: ({ status }) => {
        const id = waiting.shift()
        record.add('answered', { id, status })
        counts.answered++
        wake()
      }
    })
    socket.on('data', reader.add)
    socket.on('error', () => {})
    socket.on('close', () => { state.isClosed = true; wake() })
    for (let isFirst = true; !state.isClosed && nowMs() < endMs; isFirst = false) {
      const pair = [nextId(), nextId()]
      waiting = [...pair]
      counts.pairs++
      record.add('sent', { ids: pair.join(',') })
      socket.write(pair.map(id => requestText({ path: `/read/${id}`, id, deadlineMs: DEADLINE_MS })).join(''))
      const sentMs = nowMs()
      while (waiting.length > 0 && !state.isClosed && nowMs() - sentMs < DEADLINE_MS + 200) {
        await new Promise(resolve => { wake = resolve; setTimeout(resolve, 100) })
      }
      if (state.isClosed) {
        counts.closed++
        record.add('the node closed the connection', { unanswered: waiting.join(',') })
        const [first] = waiting
        const firstRuns = runs.get(first) ?? []
        // Only a first request that ran at sound targets alone, on a connection kept from an earlier pair.
        if (waiting.length === 2 && !isFirst && firstRuns.length > 0 && firstRuns.every(({ isFaulty }) => !isFaulty)) {
          lost.push(first)
          record.add('LOST: passed on to a sound target, no answer', { id: first })
        }
      } else if (waiting.length > 0) {
        record.add('no answer in time', { ids: waiting.join(',') })
        break
      }
    }
    socket.destroy()
    await sleep(20)
  }
}

const main = async () => {
  const store = await startStore()
  const targets = await Promise.all(Array.from({ length: TARGETS }, (_, index) => startTarget({ id: `i-${index}`, service: 'registry', respond: respondOf(index < FAULTY_TARGETS) })))
  store.put('op/config', configuration({ routes: [route({ slo_latency: '300ms' })] }))
  for (const target of targets) store.put(`servers/${target.id}`, target.entry())
  const node = startNode({ ip: await freeIp(), store: store.address, record })
  await waitReady([node])
  await sleep(500)
  const endMs = nowMs() + LOAD_MS
  await Promise.all(Array.from({ length: CALLERS }, () => runCaller(node.ip, endMs)))
  if (node.hasExited()) throw new Error('the node has ended')
  const summary = { ...counts, lost: lost.length, allowed: ALLOWED }
  record.add('summary', summary)
  console.log(JSON.stringify(summary))
  return lost.length > ALLOWED ? 1 : 0
}

main().then(code => code, error => { record.add('could not run', { message: error.message }); console.error(error); return 2 }).then(code => {
  record.write()
  process.exit(code)
})
