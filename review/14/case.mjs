/**
 * A service is busy, so uploads wait for a server. Some clients leave before their time
 * limit: they have written a large upload whole, and close the connection. Counted are
 * the uploads that reach a server more than half a second after the close has reached
 * the machine, which the kernel shows by the acknowledged end of the connection.
 */
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { createConfiguration, createRecord, HAS_TROUBLE, HOST, isReady, newId, nextAddress, nowMs, openStore, PORTS, runCase, send, sleep, startLoad, startMachine, startServer, waitUntil } from '../lib-3.mjs'

const UPLOAD_BYTES = 1_200_000
const GIVE_UP_MS = 150
const LATE_MS = 500
/** More than a few. */
const LATE_MAX = 3
const DEADLINE_MS = 8_000
const WORK_MS = 900
const SMALL_PER_S = 6
const LARGE_INTERVAL_MS = 400
const WATCHED_MS = 40_000

const record = createRecord(import.meta.url)

/** States of a closed socket whose end the other side has acknowledged: FIN_WAIT2, TIME_WAIT. */
const ENDED_STATES = new Set(['05', '06'])
const hex = port => port.toString(16).toUpperCase().padStart(4, '0')

/** Whether the kernel lists a connection of this client as ended on both kernels, with nothing left to send. */
const hasCloseArrived = localPort => readFileSync('/proc/net/tcp', 'utf8').split('\n').some(line => {
  const [, local = '', remote = '', state, queues = ''] = line.trim().split(/\s+/)
  return local.endsWith(`:${hex(localPort)}`) && remote.endsWith(`:${hex(PORTS.front)}`) && ENDED_STATES.has(state) && queues.startsWith('00000000:')
})

await runCase(record, async () => {
  const store = await openStore()
  const configuration = createConfiguration(7, { routeFields: { timeout: `${DEADLINE_MS}ms`, slo_latency: '3000ms' } })
  store.put('op/config', { ...configuration, limits: { ...configuration.limits, max_body_bytes: 67_108_864 } })
  /** Time by which the close of each client that left had reached its machine. */
  const closedMs = new Map()
  const lateMs = []
  const runsAfterClose = []
  const onHead = id => {
    record.add(`upload ${id} reaches a server`)
    const sinceMs = nowMs() - (closedMs.get(id) ?? Infinity)
    if (sinceMs > LATE_MS) lateMs.push(Math.round(sinceMs))
  }
  const respond = ({ requestId }) => {
    if (closedMs.has(requestId)) runsAfterClose.push(requestId)
    record.add(`a server runs upload ${requestId}`)
    return {}
  }
  for (const id of ['i-1', 'i-2']) await startServer({ id, service: 'registry', slots: 2, workMs: WORK_MS, store, onHead, respond })
  const hosts = [nextAddress(), nextAddress()]
  const machines = hosts.map((host, index) => startMachine({ host, zone: 'ab'[index], seeds: hosts, store }))
  await waitUntil('all machines are ready', async () => (await Promise.all(machines.map(isReady))).every(Boolean))
  const small = startLoad(SMALL_PER_S, number => send(machines[number % 2], `/upload/small-${number}`, { method: 'POST', body: 'x'.repeat(1_000), deadlineMs: DEADLINE_MS }))
  await sleep(3_000)

  let largeCount = 0
  const sockets = new Set()
  const upload = () => {
    const id = newId()
    const socket = connect(PORTS.front, hosts[largeCount % 2])
    sockets.add(socket)
    socket.on('error', () => undefined).on('data', () => undefined).on('close', () => sockets.delete(socket))
    socket.write(`POST /upload/large-${largeCount++} HTTP/1.1\r\nHost: ${HOST}\r\nWisteriavalve-Request-Id: ${id}\r\nWisteriavalve-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`)
    socket.write(Buffer.alloc(UPLOAD_BYTES, 'y'))
    record.add(`client sends upload ${id} of ${UPLOAD_BYTES} bytes`)
    if (HAS_TROUBLE) setTimeout(() => leave(socket, id), GIVE_UP_MS)
  }
  const leave = (socket, id) => {
    const { localPort } = socket
    if (socket.destroyed || localPort === undefined) return
    socket.destroy()
    record.add(`client of ${id} closes its connection`)
    const check = () => {
      if (!hasCloseArrived(localPort)) return
      clearInterval(timer)
      closedMs.set(id, nowMs())
      record.add(`the close of ${id} has reached the machine`)
    }
    const timer = setInterval(check, 10)
    setTimeout(() => clearInterval(timer), 3_000)
  }
  const timer = setInterval(upload, LARGE_INTERVAL_MS)
  await sleep(WATCHED_MS)
  clearInterval(timer)
  await small.stop()
  for (const socket of sockets) socket.destroy()
  const summary = `${lateMs.length} of ${largeCount} large uploads reach a server over ${LATE_MS} ms after the close, up to ${Math.max(0, ...lateMs)} ms; allowed ${LATE_MAX}; ${runsAfterClose.length} run whole after the close`
  record.add(summary)
  console.log(summary)
  return lateMs.length > LATE_MAX
})
