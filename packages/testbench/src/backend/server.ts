/**
 * Test double of a backend server as docs/interfaces.md section 2 describes it.
 * It streams uploads, sheds requests that do not fit its queue, honours
 * deadlines and cancellation, and reports its load. It passes the events that a
 * checker needs to `onEvent`.
 *
 * The query of a request can set the service time (`service-ms`) and the size
 * of the response body (`answer-bytes`).
 */
import http from 'node:http'
import { createRandom, resetSocket, type Random } from '@wisteriavalve/common'
import { closeServer, listen, allocateLoopbackHost } from '../net.js'
import { CHECKSUM_HEADER, checksum, createResponseBody } from './response-body.js'
import { startNeighbours } from './neighbours.js'
import { createSlots, type Job, type Slots } from './slots.js'
import type { Backend, BackendBehaviour, BackendEvent, BackendEventWithServer, BackendOptions } from './types.js'

const DEFAULT_BEHAVIOUR: BackendBehaviour = {
  slowdown: 1, failFast: false, shed: false, loadReport: 'honest', health: 'honest', drainHeader: true, echoesRequestIds: true
}
const COLD_SLOWDOWN = 3
const DRAIN_CHECK_MS = 10

type State = {
  options: BackendOptions
  behaviour: BackendBehaviour
  slots: Slots
  random: Random
  recordEvent: (event: BackendEvent) => void
  isCold: boolean
  drainStartMs: number | undefined
  firstReport: string | undefined
  probeCount: number
  openResponses: Set<http.ServerResponse>
}

/** Log-normal service time with the median from the options. */
const drawServiceMs = ({ options, random }: State): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return (options.serviceTimeMs ?? 5) * Math.exp((options.sigma ?? 0.3) * normal)
}

const loadReport = (state: State): string => {
  const { slots, options, behaviour } = state
  const inFlight = slots.runningCount() + slots.queuedCount()
  const formatReport = (count: number): string =>
    `TEXT application_utilization=${(count / options.slots).toFixed(2)},named_metrics.in_flight=${count},named_metrics.slots=${options.slots}`
  state.firstReport ??= formatReport(inFlight)
  if (behaviour.loadReport === 'stale') return state.firstReport
  return formatReport(behaviour.loadReport === 'idle' ? 0 : inFlight)
}

const setCommonHeaders = (state: State, response: http.ServerResponse, requestId: string): void => {
  if (state.behaviour.echoesRequestIds && requestId !== '') response.setHeader('x-request-id', requestId)
  response.setHeader('endpoint-load-metrics', loadReport(state))
  if (state.drainStartMs !== undefined && state.behaviour.drainHeader) response.setHeader('x-draining', 'true')
}

const sendHealth = (state: State, response: http.ServerResponse): void => {
  state.probeCount++
  const { slots, options, behaviour, isCold, drainStartMs } = state
  const actualState = drainStartMs !== undefined ? 'draining' : isCold ? 'starting' : 'ready'
  const inFlight = behaviour.loadReport === 'idle' ? 0 : slots.runningCount() + slots.queuedCount()
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify({ state: behaviour.health === 'ready' ? 'ready' : actualState, inFlight, slots: options.slots }))
}

const refuse = (state: State, response: http.ServerResponse, requestId: string): void => {
  state.recordEvent({ type: 'refused', requestId })
  setCommonHeaders(state, response, requestId)
  response.writeHead(503, { 'x-request-not-run': 'true' }).end()
}

/** Reads the upload to its end and records whether it was complete and unchanged. */
const receiveBody = (state: State, request: http.IncomingMessage, requestId: string): Promise<boolean> =>
  new Promise(resolve => {
    let sizeBytes = 0
    let actualChecksum = 0
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      actualChecksum = checksum(chunk, actualChecksum)
    })
    request.on('error', () => {})
    request.on('close', () => {
      const announcedChecksum = request.headers[CHECKSUM_HEADER]
      const complete = request.complete
      if (announcedChecksum !== undefined || !complete) {
        state.recordEvent({ type: 'upload', requestId, complete, intact: complete && announcedChecksum === String(actualChecksum), sizeBytes })
      }
      resolve(complete)
    })
  })

const sendResponse = (state: State, response: http.ServerResponse, requestId: string, sizeBytes: number): void => {
  const body = createResponseBody(requestId, state.options.id, sizeBytes)
  setCommonHeaders(state, response, requestId)
  response.setHeader(CHECKSUM_HEADER, String(checksum(body)))
  response.setHeader('content-length', body.length)
  const resetAfterBytes = state.behaviour.breakAnswerAfterBytes
  if (resetAfterBytes === undefined) {
    response.end(body, () => state.recordEvent({ type: 'answered', requestId }))
    return
  }
  response.write(body.subarray(0, resetAfterBytes), () => { if (response.socket) resetSocket(response.socket) })
}

const runRequest = (state: State, request: http.IncomingMessage, response: http.ServerResponse, requestId: string, query: URLSearchParams): void => {
  const timeoutMs = Number(request.headers['x-request-timeout-ms'] ?? Infinity)
  const deadlineMs = performance.now() + timeoutMs
  let bodyReceived: Promise<boolean> = Promise.resolve(true)
  const job: Job = {
    workMs: query.has('service-ms') ? Number(query.get('service-ms')) : drawServiceMs(state),
    start: () => {
      if (performance.now() > deadlineMs) {
        state.slots.cancel(job)
        refuse(state, response, requestId)
        return
      }
      state.recordEvent({ type: 'started', requestId })
      bodyReceived = receiveBody(state, request, requestId)
    },
    finish: () => {
      bodyReceived.then(complete => {
        if (complete && !response.destroyed) sendResponse(state, response, requestId, Number(query.get('answer-bytes') ?? state.options.answerBytes ?? 200))
      })
    }
  }
  response.on('close', () => {
    if (!response.writableFinished) state.recordEvent({ type: 'cancelled', requestId })
    state.slots.cancel(job)
  })
  if (!state.slots.offer(job)) refuse(state, response, requestId)
}

const handle = (state: State, request: http.IncomingMessage, response: http.ServerResponse): void => {
  const url = new URL(request.url ?? '/', 'http://localhost')
  if (url.pathname === '/health') {
    sendHealth(state, response)
    return
  }
  const requestId = String(request.headers['x-request-id'] ?? '')
  state.openResponses.add(response)
  response.on('close', () => { state.openResponses.delete(response) })
  if (state.drainStartMs !== undefined) {
    state.recordEvent({ type: 'arrived-after-drain', requestId, afterDrainMs: performance.now() - state.drainStartMs })
  }
  if (state.behaviour.shed) refuse(state, response, requestId)
  else if (state.behaviour.failFast) {
    state.recordEvent({ type: 'started', requestId })
    setCommonHeaders(state, response, requestId)
    request.resume()
    response.writeHead(500).end()
  } else runRequest(state, request, response, requestId, url.searchParams)
}

const drain = (state: State): Promise<void> => {
  if (state.drainStartMs === undefined) {
    state.drainStartMs = performance.now()
    state.recordEvent({ type: 'drain-began' })
  }
  return new Promise(resolve => {
    const timer = setInterval(() => {
      if (state.openResponses.size > 0) return
      clearInterval(timer)
      resolve()
    }, DRAIN_CHECK_MS)
  })
}

const createState = (options: BackendOptions, onEvent: (event: BackendEventWithServer) => void): State => ({
  options,
  behaviour: { ...DEFAULT_BEHAVIOUR },
  slots: createSlots(options.slots, options.queueMax ?? options.slots * 4),
  random: createRandom(options.seed),
  recordEvent: event => onEvent({ ...event, serverId: options.id, timeMs: performance.timeOrigin + performance.now() }),
  isCold: (options.coldMs ?? 0) > 0,
  drainStartMs: undefined,
  firstReport: undefined,
  probeCount: 0,
  openResponses: new Set()
})

export const createBackend = async (options: BackendOptions, onEvent: (event: BackendEventWithServer) => void = () => {}): Promise<Backend> => {
  const state = createState(options, onEvent)
  const server = http.createServer((request, response) => handle(state, request, response))
  server.keepAliveTimeout = 60_000
  server.requestTimeout = 0
  const host = options.host ?? allocateLoopbackHost()
  const port = await listen(server, host, options.port)

  let neighbourSlowdown = 1
  const applySlowdown = (): void =>
    state.slots.setSlowdown(state.behaviour.slowdown * neighbourSlowdown * (state.isCold ? COLD_SLOWDOWN : 1))
  const stopNeighbours = options.neighbours && startNeighbours(options.neighbours, createRandom(options.seed + 1), slowdown => {
    neighbourSlowdown = slowdown
    applySlowdown()
  })
  const coldTimer = setTimeout(() => { state.isCold = false; applySlowdown() }, options.coldMs ?? 0)
  applySlowdown()

  const connections = new Set<import('node:net').Socket>()
  server.on('connection', socket => {
    connections.add(socket)
    socket.on('close', () => connections.delete(socket))
  })
  const close = async (shouldReset: boolean): Promise<void> => {
    clearTimeout(coldTimer)
    stopNeighbours?.()
    const closed = closeServer(server)
    for (const socket of connections) shouldReset ? resetSocket(socket) : socket.destroySoon()
    await closed
  }

  return {
    id: options.id,
    host,
    port,
    setBehaviour: changes => {
      Object.assign(state.behaviour, changes)
      applySlowdown()
    },
    inFlight: () => state.openResponses.size,
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
