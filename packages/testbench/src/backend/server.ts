/**
 * Stand-in of a backend server as docs/interfaces.md section 2 describes it.
 * It streams uploads, sheds what it cannot queue, honours deadlines and
 * cancellation, reports its load, and hands each thing that a checker needs
 * to `onEvent`.
 *
 * A request's query can set `service-ms` and `answer-bytes`.
 */
import http from 'node:http'
import { createRandom, resetSocket, type Random } from '@wisteriavalve/common'
import { closeServer, listen, takeLoopbackHost } from '../net.js'
import { CHECKSUM_HEADER, checksum, createAnswerBody } from './answer.js'
import { startNeighbours } from './neighbours.js'
import { createSlots, type Job, type Slots } from './slots.js'
import type { Backend, BackendBehaviour, BackendEvent, BackendEventWithServer, BackendOptions } from './types.js'

const DEFAULT_BEHAVIOUR: BackendBehaviour = {
  slowdown: 1, failFast: false, shed: false, loadReport: 'honest', health: 'honest', drainHeader: true
}
const COLD_SLOWDOWN = 3
const DRAIN_CHECK_MS = 10

type State = {
  options: BackendOptions
  behaviour: BackendBehaviour
  slots: Slots
  random: Random
  note: (event: BackendEvent) => void
  cold: boolean
  drainBeganMs: number | undefined
  firstReport: string | undefined
  probeCount: number
  open: Set<http.ServerResponse>
}

/** Log-normal service time with the median of the options. */
const drawServiceMs = ({ options, random }: State): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return (options.serviceTimeMs ?? 5) * Math.exp((options.sigma ?? 0.3) * normal)
}

const loadReport = (state: State): string => {
  const { slots, options, behaviour } = state
  const inFlight = slots.runningCount() + slots.queuedCount()
  const report = (count: number): string =>
    `TEXT application_utilization=${(count / options.slots).toFixed(2)},named_metrics.in_flight=${count},named_metrics.slots=${options.slots}`
  state.firstReport ??= report(inFlight)
  if (behaviour.loadReport === 'stale') return state.firstReport
  return report(behaviour.loadReport === 'idle' ? 0 : inFlight)
}

const setCommonHeaders = (state: State, response: http.ServerResponse): void => {
  response.setHeader('endpoint-load-metrics', loadReport(state))
  if (state.drainBeganMs !== undefined && state.behaviour.drainHeader) response.setHeader('x-draining', 'true')
}

const answerHealth = (state: State, response: http.ServerResponse): void => {
  state.probeCount++
  const { slots, options, behaviour, cold, drainBeganMs } = state
  const honest = drainBeganMs !== undefined ? 'draining' : cold ? 'starting' : 'ready'
  const inFlight = behaviour.loadReport === 'idle' ? 0 : slots.runningCount() + slots.queuedCount()
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify({ state: behaviour.health === 'ready' ? 'ready' : honest, inFlight, slots: options.slots }))
}

const refuse = (state: State, response: http.ServerResponse, requestId: string): void => {
  state.note({ type: 'refused', requestId })
  setCommonHeaders(state, response)
  response.writeHead(503, { 'x-request-not-run': 'true' }).end()
}

/** Reads the upload to its end and records whether it came complete and unchanged. */
const receiveBody = (state: State, request: http.IncomingMessage, requestId: string): Promise<boolean> =>
  new Promise(resolve => {
    let sizeBytes = 0
    let sum = 0
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      sum = checksum(chunk, sum)
    })
    request.on('error', () => {})
    request.on('close', () => {
      const announced = request.headers[CHECKSUM_HEADER]
      const complete = request.complete
      if (announced !== undefined || !complete) {
        state.note({ type: 'upload', requestId, complete, intact: complete && announced === String(sum), sizeBytes })
      }
      resolve(complete)
    })
  })

const sendAnswer = (state: State, response: http.ServerResponse, requestId: string, sizeBytes: number): void => {
  const body = createAnswerBody(requestId, state.options.id, sizeBytes)
  setCommonHeaders(state, response)
  response.setHeader(CHECKSUM_HEADER, String(checksum(body)))
  response.setHeader('content-length', body.length)
  const breakAfter = state.behaviour.breakAnswerAfterBytes
  if (breakAfter === undefined) {
    response.end(body, () => state.note({ type: 'answered', requestId }))
    return
  }
  response.write(body.subarray(0, breakAfter), () => { if (response.socket) resetSocket(response.socket) })
}

const run = (state: State, request: http.IncomingMessage, response: http.ServerResponse, requestId: string, query: URLSearchParams): void => {
  const timeoutMs = Number(request.headers['x-request-timeout-ms'] ?? Infinity)
  const deadlineMs = performance.now() + timeoutMs
  let received: Promise<boolean> = Promise.resolve(true)
  const job: Job = {
    workMs: query.has('service-ms') ? Number(query.get('service-ms')) : drawServiceMs(state),
    start: () => {
      if (performance.now() > deadlineMs) {
        state.slots.cancel(job)
        refuse(state, response, requestId)
        return
      }
      state.note({ type: 'started', requestId })
      received = receiveBody(state, request, requestId)
    },
    finish: () => {
      received.then(complete => {
        if (complete && !response.destroyed) sendAnswer(state, response, requestId, Number(query.get('answer-bytes') ?? state.options.answerBytes ?? 200))
      })
    }
  }
  response.on('close', () => {
    if (!response.writableFinished) state.note({ type: 'cancelled', requestId })
    state.slots.cancel(job)
  })
  if (!state.slots.offer(job)) refuse(state, response, requestId)
}

const handle = (state: State, request: http.IncomingMessage, response: http.ServerResponse): void => {
  const url = new URL(request.url ?? '/', 'http://localhost')
  if (url.pathname === '/health') {
    answerHealth(state, response)
    return
  }
  const requestId = String(request.headers['x-request-id'] ?? '')
  state.open.add(response)
  response.on('close', () => { state.open.delete(response) })
  if (state.drainBeganMs !== undefined) {
    state.note({ type: 'arrived-after-drain', requestId, afterDrainMs: performance.now() - state.drainBeganMs })
  }
  if (state.behaviour.shed) refuse(state, response, requestId)
  else if (state.behaviour.failFast) {
    state.note({ type: 'started', requestId })
    setCommonHeaders(state, response)
    request.resume()
    response.writeHead(500).end()
  } else run(state, request, response, requestId, url.searchParams)
}

const drain = (state: State): Promise<void> => {
  if (state.drainBeganMs === undefined) {
    state.drainBeganMs = performance.now()
    state.note({ type: 'drain-began' })
  }
  return new Promise(resolve => {
    const check = setInterval(() => {
      if (state.open.size > 0) return
      clearInterval(check)
      resolve()
    }, DRAIN_CHECK_MS)
  })
}

const createState = (options: BackendOptions, onEvent: (event: BackendEventWithServer) => void): State => ({
  options,
  behaviour: { ...DEFAULT_BEHAVIOUR },
  slots: createSlots(options.slots, options.queueMax ?? options.slots * 4),
  random: createRandom(options.seed),
  note: event => onEvent({ ...event, serverId: options.id, timeMs: performance.timeOrigin + performance.now() }),
  cold: (options.coldMs ?? 0) > 0,
  drainBeganMs: undefined,
  firstReport: undefined,
  probeCount: 0,
  open: new Set()
})

export const createBackend = async (options: BackendOptions, onEvent: (event: BackendEventWithServer) => void = () => {}): Promise<Backend> => {
  const state = createState(options, onEvent)
  const server = http.createServer((request, response) => handle(state, request, response))
  server.keepAliveTimeout = 60_000
  server.requestTimeout = 0
  const host = options.host ?? takeLoopbackHost()
  const port = await listen(server, host, options.port)

  let neighbourSlowdown = 1
  const applySlowdown = (): void =>
    state.slots.setSlowdown(state.behaviour.slowdown * neighbourSlowdown * (state.cold ? COLD_SLOWDOWN : 1))
  const stopNeighbours = options.neighbours && startNeighbours(options.neighbours, createRandom(options.seed + 1), slowdown => {
    neighbourSlowdown = slowdown
    applySlowdown()
  })
  const coldTimer = setTimeout(() => { state.cold = false; applySlowdown() }, options.coldMs ?? 0)
  applySlowdown()

  const connections = new Set<import('node:net').Socket>()
  server.on('connection', socket => {
    connections.add(socket)
    socket.on('close', () => connections.delete(socket))
  })
  const close = async (reset: boolean): Promise<void> => {
    clearTimeout(coldTimer)
    stopNeighbours?.()
    const closed = closeServer(server)
    for (const socket of connections) reset ? resetSocket(socket) : socket.destroySoon()
    await closed
  }

  return {
    id: options.id,
    host,
    port,
    behave: changes => {
      Object.assign(state.behaviour, changes)
      applySlowdown()
    },
    inFlight: () => state.open.size,
    probeCount: () => state.probeCount,
    connectionCount: () => connections.size,
    drain: () => drain(state),
    kill: () => close(true),
    stop: async (graceMs = 0) => {
      await drain(state)
      if (graceMs > 0) await new Promise(resolve => { setTimeout(resolve, graceMs) })
      await drain(state)
      await close(false)
    }
  }
}
