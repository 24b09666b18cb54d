/**
 * Open-loop load on several routes at the same time. Arrivals follow one seeded
 * Poisson process and are assigned to the routes in rotation, so all routes are
 * exposed to the same noise of the machine. Latency is measured from the intended
 * start.
 *
 * Results are kept per time slice. On a shared machine other processes occupy the
 * processors for tens of ms at a time, independent of the routes. The first route
 * shows which slices were quiet.
 */
import { Pool } from 'undici'
import { build, type Histogram } from 'hdr-histogram-js'
import { createRandom } from '@wisteriavalve/common'

export type Route = { name: string, origins: readonly string[] }

export type RouteResult = {
  name: string
  requests: number
  failures: number
  /** Latencies in us, one histogram per time slice of the run. */
  slices: Histogram[]
}

export type OpenLoopOptions = {
  routes: readonly Route[]
  /** Requests per second on each route. */
  ratePerS: number
  durationMs: number
  seed: number
  path: string
}

const CONNECTIONS = 64
const POST_SHARE = 0.2
const POST_BODY = Buffer.alloc(500, 'p')
const DRAIN_MS = 2_000
export const SLICE_MS = 200

type RouteRun = RouteResult & { pools: Pool[], next: number, inFlightCount: number }

const createRouteRun = ({ name, origins }: Route): RouteRun => ({
  name,
  requests: 0,
  failures: 0,
  slices: [],
  pools: origins.map(origin => new Pool(origin, { connections: Math.ceil(CONNECTIONS / origins.length), pipelining: 1 })),
  next: 0,
  inFlightCount: 0
})

export const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })

const sliceAt = ({ slices }: RouteRun, number: number): Histogram => {
  const histogram = slices[number] ?? createHistogram()
  slices[number] = histogram
  return histogram
}

const send = (routeRun: RouteRun, path: string, isPost: boolean, dueMs: number, slice: number): void => {
  const pool = routeRun.pools[routeRun.next++ % routeRun.pools.length] as Pool
  let status = 0
  routeRun.inFlightCount++
  const finish = (isAnswered: boolean): void => {
    routeRun.inFlightCount--
    routeRun.requests++
    if (!isAnswered) routeRun.failures++
    sliceAt(routeRun, slice).recordValue(Math.max(1, Math.round((performance.now() - dueMs) * 1000)))
  }
  pool.dispatch({ method: isPost ? 'POST' : 'GET', path, headers: { accept: '*/*', 'user-agent': 'bench' }, body: isPost ? POST_BODY : null }, {
    onConnect: () => undefined,
    onHeaders: code => {
      status = code
      return true
    },
    onData: () => true,
    onComplete: () => finish(status === 200),
    onError: () => finish(false)
  })
}

export const runOpenLoop = async ({ routes, ratePerS, durationMs, seed, path }: OpenLoopOptions): Promise<RouteResult[]> => {
  const routeRuns = routes.map(createRouteRun)
  const random = createRandom(seed)
  const startMs = performance.now()
  const endMs = startMs + durationMs
  const meanGapMs = 1000 / (ratePerS * routeRuns.length)
  let dueMs = startMs
  let count = 0
  const sendDue = (): void => {
    for (const nowMs = performance.now(); dueMs <= nowMs && dueMs < endMs; dueMs += -Math.log(1 - random.next()) * meanGapMs) {
      send(routeRuns[count++ % routeRuns.length] as RouteRun, path, random.next() < POST_SHARE, dueMs, Math.floor((dueMs - startMs) / SLICE_MS))
    }
  }
  // Timers have a resolution of only 1 ms, which would send requests in bursts.
  await new Promise<void>(resolve => {
    const sendLoop = (): void => {
      sendDue()
      const nowMs = performance.now()
      const isOver = nowMs >= endMs && (routeRuns.every(({ inFlightCount }) => inFlightCount === 0) || nowMs > endMs + DRAIN_MS)
      if (isOver) resolve()
      else setImmediate(sendLoop)
    }
    sendLoop()
  })
  await Promise.all(routeRuns.flatMap(({ pools }) => pools.map(pool => pool.destroy())))
  return routeRuns
}
