/**
 * Play of the cases in which a node ends while callers pipeline safe requests.
 * Counts the requests of other callers, on kept connections, that a target ran and
 * whose connection then ended without an answer.
 */
import { connect } from 'node:net'
import {
  createConfiguration, isReady, nextIp, openStore, openTarget, playBursts, PORTS, randomMs, runPoolCaller, sleep, STABLE_WINDOW_MS, startMachine, waitFor
} from './lib.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
/** Callers of each node that use kept connections and never leave. */
const POOL_CALLERS = 10
const PIPELINED = 3
/** Long, so that no read ends without an answer on a busy machine. */
const READ_DEADLINE_MS = 6_000
/** Half of the objective of the reads. */
const LEAVE_AFTER_MS = 75
const TARGETS = 6
/** More requests than this must be cut for the rule to be broken. */
const CUT_MAX = 3

/** Number of complete answers in what a pipelining caller has received. */
const countAnswers = text => text.split('HTTP/1.1 200').length - 1

/**
 * @param pipeliningCallers callers of each node that pipeline
 * @param leavingShare share of the pipelined calls that their caller leaves early while the disruption lasts
 * @param readBytes size of the answers to reads
 * @param answerRead sends the answer of a target to a read; gets its number among the targets, and whether the disruption is on
 */
export const playCut = ({ pipeliningCallers, leavingShare = 0, readBytes, answerRead }) => async (record, hasTrouble) => {
  const store = await openStore()
  let isTrouble = false
  const respondToRead = index => context => setTimeout(() => answerRead({ ...context, index, isTrouble, record }), randomMs(15, 150))
  const respondToOffer = ({ answer }) => setTimeout(() => answer({ bytes: 5_000 }), randomMs(100, 220))
  const open = (name, createRespond) => Promise.all(Array.from({ length: TARGETS }, (_, index) => openTarget(`i-${name}${index}`, record, { slots: 12, respond: createRespond(index) })))
  const reels = await open('r', respondToRead)
  const offers = await open('o', () => respondToOffer)
  const routes = [
    { name: 'reel-read', host: 'cast.example', path_prefix: '/reel/', type: 'safe', service: 'auditions', timeout: `${READ_DEADLINE_MS}ms`, slo_latency: '150ms' },
    { name: 'casting-offer', host: 'cast.example', path_prefix: '/offer/', type: 'unsafe', service: 'offers' }
  ]
  store.put('op/config', createConfiguration(7, routes, ['auditions', 'offers']))
  for (const target of reels) store.put(`servers/${target.id}`, target.entry('auditions'))
  for (const target of offers) store.put(`servers/${target.id}`, target.entry('offers'))
  const ips = ZONES.map(() => nextIp())
  const machines = ZONES.map((zone, index) => startMachine({ ip: ips[index], zone, seeds: ips, store: store.address, record }))
  for (const machine of machines) if (!await waitFor(() => isReady(machine))) throw new Error(`node ${machine.ip} is not ready`)
  await sleep(STABLE_WINDOW_MS)

  const cut = []
  let requestNumber = 0
  let isOver = false
  const isRunning = () => !isOver

  const poolCaller = (machine, name) => runPoolCaller({
    machine,
    name,
    host: 'cast.example',
    deadlineMs: 1_200,
    createRequest: id => ({ path: `/offer/${id}`, method: 'POST', body: 'role=narrator' }),
    onResult: result => { if (result.status === 0 && result.answeredOnConnection > 0 && !result.isOver) cut.push(result) },
    isOver: () => isOver,
    record
  })

  const pipelineOnce = (machine, name, leaves) => new Promise(resolve => {
    const ids = Array.from({ length: PIPELINED }, () => `${name}-${requestNumber++}`)
    const socket = connect(PORTS.front, machine.ip)
    let received = ''
    const timers = [setTimeout(() => socket.destroy(), READ_DEADLINE_MS)]
    socket.on('error', () => undefined)
    socket.on('connect', () => {
      socket.write(ids.map(id => `GET /reel/${id} HTTP/1.1\r\nHost: cast.example\r\nWisteriavalve-Request-Id: ${id}\r\nWisteriavalve-Deadline-Ms: ${READ_DEADLINE_MS}\r\n\r\n`).join(''))
      if (leaves) timers.push(setTimeout(() => socket.destroy(), LEAVE_AFTER_MS))
    })
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      const hasLast = received.includes(`${ids.at(-1)} `) && received.length >= PIPELINED * readBytes
      if (countAnswers(received) === PIPELINED && hasLast) socket.destroy()
    })
    socket.once('close', () => {
      for (const timer of timers) clearTimeout(timer)
      record.add(`caller ${ids.join(' ')} ${leaves ? 'left' : 'ended'} with ${countAnswers(received)} answers begun`)
      resolve()
    })
  })

  const pipeliningCaller = async (machine, name) => {
    while (isRunning()) {
      await pipelineOnce(machine, name, isTrouble && Math.random() < leavingShare)
      await sleep(randomMs(50, 200))
    }
  }

  const callers = machines.flatMap((machine, index) => [
    ...Array.from({ length: POOL_CALLERS }, (_, number) => poolCaller(machine, `p${index}.${number}`)),
    ...Array.from({ length: pipeliningCallers }, (_, number) => pipeliningCaller(machine, `l${index}.${number}`))
  ])
  await playBursts(record, value => { isTrouble = value && hasTrouble })
  isOver = true
  await Promise.all(callers)
  const ran = new Set(offers.flatMap(target => target.ran.map(({ requestId }) => requestId)))
  const passedOnAndCut = cut.filter(({ id }) => ran.has(id))
  const ends = machines.flatMap(machine => machine.ends)
  record.add(`${ends.length} processes ended by themselves; ${cut.length} requests of callers that stay were cut on kept connections, ${passedOnAndCut.length} of them had been passed on to a target that ran them`)
  return passedOnAndCut.length > CUT_MAX
    ? [`LOST: ${passedOnAndCut.length} requests on kept connections were passed on to a sound target and cut without an answer; ${ends.length} processes ended by themselves`]
    : []
}
