/**
 * Play of the cases in which targets spoil the status line of some answers. Counts
 * the requests that have no final answer half a second after the timeout of their
 * route.
 */
import {
  createConfiguration, isReady, nextIp, openStore, openTarget, playBursts, randomMs, runPoolCaller, sleep, STABLE_WINDOW_MS, startMachine, waitFor
} from './lib.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
/** Callers of each node. */
const CALLERS = 20
const TARGETS = 6
/** 2 of 6 targets spoil answers, and 1 in 50 of theirs. */
const SPOILING_TARGETS = 2
const SPOILED_SHARE = 0.02
const ROUTE_TIMEOUT_MS = 1_000
/** Callers wait longer than the route's timeout. */
const CALLER_DEADLINE_MS = 2_500
const LATE_MS = 500
/** The rule is broken by so many requests without an answer, and over this share of those that were unanswered at the timeout. */
const UNANSWERED_MIN = 8
const UNANSWERED_SHARE = 0.25

/** @param spoiledLine the status line that is sent in place of a good one */
export const playSpoiledAnswers = spoiledLine => async (record, hasTrouble) => {
  const store = await openStore()
  let spoiledCount = 0
  let isTrouble = false
  const respond = index => ({ answer, sendRaw, requestId }) => setTimeout(() => {
    if (index >= SPOILING_TARGETS || Math.random() >= SPOILED_SHARE || !isTrouble) {
      answer({ bytes: 5_000 })
      return
    }
    spoiledCount++
    record.add(`target ${index} spoils its answer to ${requestId}`)
    const body = `${requestId} `.padEnd(64, '.')
    sendRaw(`${spoiledLine}\r\nWisteriavalve-Request-Id: ${requestId}\r\nWisteriavalve-Response-Stamp: s-${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  }, randomMs(40, 160))
  const targets = await Promise.all(Array.from({ length: TARGETS }, (_, index) => openTarget(`i-${index}`, record, { slots: 12, respond: respond(index) })))
  const route = { name: 'profile-read', host: 'cast.example', path_prefix: '/profile/', type: 'safe', service: 'registry', timeout: `${ROUTE_TIMEOUT_MS}ms`, slo_latency: '300ms' }
  store.put('op/config', createConfiguration(7, [route], ['registry']))
  for (const target of targets) store.put(`servers/${target.id}`, target.entry('registry'))
  const ips = ZONES.map(() => nextIp())
  const machines = ZONES.map((zone, index) => startMachine({ ip: ips[index], zone, seeds: ips, store: store.address, record }))
  for (const machine of machines) if (!await waitFor(() => isReady(machine))) throw new Error(`node ${machine.ip} is not ready`)
  await sleep(STABLE_WINDOW_MS)

  let count = 0
  let isOver = false
  /** Requests that had no final answer at the timeout of their route, and half a second later. */
  const atTimeout = []
  const later = []
  const callers = machines.flatMap((machine, index) => Array.from({ length: CALLERS }, (_, number) => runPoolCaller({
    machine,
    name: `c${index}.${number}`,
    host: 'cast.example',
    deadlineMs: CALLER_DEADLINE_MS,
    createRequest: id => ({ path: `/profile/${id}` }),
    onResult: result => {
      count++
      if (result.durationMs > ROUTE_TIMEOUT_MS) atTimeout.push(result)
      if (result.durationMs > ROUTE_TIMEOUT_MS + LATE_MS) later.push(result)
    },
    isOver: () => isOver,
    record
  })))
  await playBursts(record, value => { isTrouble = value && hasTrouble })
  isOver = true
  await Promise.all(callers)
  const ends = machines.flatMap(machine => machine.ends)
  const pauses = machines.flatMap(({ node }) => node.lines.filter(line => line.includes('event=process_paused')))
  for (const line of pauses) record.add(`log: ${line}`)
  record.add(`${count} requests, ${spoiledCount} answers spoiled, ${ends.length} processes ended by themselves; ${atTimeout.length} requests unanswered at the timeout of their route, ${later.length} of them ${LATE_MS} ms later`)
  return later.length >= UNANSWERED_MIN && later.length > atTimeout.length * UNANSWERED_SHARE
    ? [`CONFIG: ${later.length} of ${atTimeout.length} requests that were unanswered at the timeout of their route had no answer ${LATE_MS} ms later; ${spoiledCount} of ${count} answers were spoiled, ${pauses.length} pauses of processes`]
    : []
}
