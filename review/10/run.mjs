/**
 * Six nodes and one service whose six targets name a `Server-Limit` in all their answers. The ids of the targets
 * are long, but their keys are within the 200 bytes of the store. Callers send more than the limits allow, to all
 * nodes alike. Counts the requests that reach each target in any 4 s, later than `stable_window` after it first
 * named its limit.
 */
import net from 'node:net'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, createAnswerReader, createRecord, freeIp, get, METRICS_PORT, nextId, nowMs, PORTS, requestText, route, sleep, startNode, startStore, startTarget, TROUBLE, waitReady } from '../lib-2.mjs'

const NODES = 6
const TARGETS = 6
const LIMIT_PER_S = 10
const ID_LENGTH = TROUBLE ? 150 : 40
const REQUESTS_PER_S = 300
const LOAD_MS = 25_000
const STABLE_WINDOW_MS = 3_000
const WINDOW_MS = 4_000
const ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5
const DEADLINE_MS = 1_000

const record = createRecord(dirname(fileURLToPath(import.meta.url)))
const counts = { sent: 0, answers: {} }
const arrivals = new Map()
/** The node to which a request was sent, and when a node first passed on an answer of a target. */
const nodeOf = new Map()
const passedOnMs = new Map()
const PASSED_ON_BEFORE_MS = 500

const startLimited = async index => {
  const id = `i-${index}-`.padEnd(ID_LENGTH, 'x')
  const times = []
  arrivals.set(id, times)
  const target = await startTarget({
    id,
    service: 'registry',
    respond: ({ res, requestId, headers }) => {
      times.push({ atMs: nowMs(), ip: nodeOf.get(requestId) })
      record.add('arrives', { target: index, id: requestId })
      setTimeout(() => { if (!res.destroyed) res.writeHead(200, { 'Content-Length': 2, 'Server-Limit': String(LIMIT_PER_S), ...headers() }).end('ok') }, 20)
    }
  })
  return target
}

const send = ip => new Promise(resolve => {
  const id = nextId()
  nodeOf.set(id, ip)
  counts.sent++
  const socket = net.connect(PORTS.front, ip)
  let isOver = false
  const finish = result => {
    if (isOver) return
    isOver = true
    clearTimeout(timer)
    counts.answers[result] = (counts.answers[result] ?? 0) + 1
    record.add('answer', { id, ip, result })
    socket.destroy()
    resolve()
  }
  const timer = setTimeout(() => finish('none in time'), DEADLINE_MS)
  const reader = createAnswerReader({
    onAnswer: ({ status, headers }) => {
      const target = /^stamp\.(.*)\./.exec(headers['wisteriavalve-response-stamp'] ?? '')?.[1]
      if (target !== undefined && !passedOnMs.has(`${ip} ${target}`)) passedOnMs.set(`${ip} ${target}`, nowMs())
      finish(String(status))
    }
  })
  socket.on('data', reader.add)
  socket.on('error', error => finish(error.code))
  socket.on('close', () => finish('closed'))
  socket.write(requestText({ path: `/read/${id}`, id, deadlineMs: DEADLINE_MS }))
})

/** Most requests in one window that begins `stable_window` after the first answer or later. */
const worstWindow = ([id, times]) => {
  const isCounted = ({ atMs, ip }) => atMs >= times[0].atMs + STABLE_WINDOW_MS && atMs - (passedOnMs.get(`${ip} ${id}`) ?? Infinity) >= PASSED_ON_BEFORE_MS
  const counted = times.filter(isCounted).map(({ atMs }) => atMs)
  let worst = 0
  for (let from = 0, to = 0; to < counted.length; to++) {
    while (counted[to] - counted[from] > WINDOW_MS) from++
    worst = Math.max(worst, to - from + 1)
  }
  return worst
}

const gossip = async ip => {
  const { body } = await get(ip, METRICS_PORT, '/metrics')
  return body.split('\n').filter(line => /members|malformed|permits_issued|permit_owners_failed/.test(line) && !line.startsWith('#')).join(' ')
}

const main = async () => {
  const store = await startStore()
  const targets = await Promise.all(Array.from({ length: TARGETS }, (_, index) => startLimited(index)))
  store.put('op/config', configuration({ routes: [route({})] }))
  for (const target of targets) store.put(`servers/${target.id}`, target.entry())
  const ips = []
  for (let count = 0; count < NODES; count++) ips.push(await freeIp())
  const nodes = ips.map(ip => startNode({ ip, seeds: ips.slice(0, 3), store: store.address, record }))
  await waitReady(nodes)
  await sleep(4_000)
  for (const ip of ips) record.add('before', { ip, metrics: await gossip(ip) })
  const endMs = nowMs() + LOAD_MS
  for (let number = 0; nowMs() < endMs; number++) {
    send(ips[number % ips.length])
    await sleep(1_000 / REQUESTS_PER_S)
  }
  for (const ip of ips) record.add('after', { ip, metrics: await gossip(ip) })
  if (nodes.some(node => node.hasExited())) throw new Error('a node has ended')
  const worst = [...arrivals].map(worstWindow)
  const summary = { ...counts, idLength: ID_LENGTH, worst, allowed: ALLOWED }
  record.add('summary', { ...summary, answers: JSON.stringify(counts.answers), worst: worst.join(',') })
  console.log(JSON.stringify(summary))
  return worst.some(count => count > ALLOWED) ? 1 : 0
}

main().then(code => code, error => { record.add('could not run', { message: error.message }); console.error(error); return 2 }).then(code => {
  record.write()
  process.exit(code)
})
