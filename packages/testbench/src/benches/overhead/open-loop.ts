/**
 * Open-loop load on several ways at once: arrivals follow one seeded Poisson
 * process and take the ways in turn, so each way meets the same noise of the
 * machine. Latency counts from the intended start.
 *
 * Results are kept by slices of time. On a shared machine other processes take
 * the processors for tens of ms at a time, which says nothing about the ways;
 * the first way tells which slices were quiet.
 */
import { Pool } from 'undici'
import { build, type Histogram } from 'hdr-histogram-js'
import { createRandom } from '@wisteriavalve/common'

export type Way = { name: string, origins: readonly string[] }

export type WayResult = {
  name: string
  requests: number
  failures: number
  /** One histogram for each slice of the run, in us. */
  slices: Histogram[]
}

export type OpenLoopOptions = {
  ways: readonly Way[]
  /** Requests per second on each way. */
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

type Lane = WayResult & { pools: Pool[], next: number, open: number }

const createLane = ({ name, origins }: Way): Lane => ({
  name,
  requests: 0,
  failures: 0,
  slices: [],
  pools: origins.map(origin => new Pool(origin, { connections: Math.ceil(CONNECTIONS / origins.length), pipelining: 1 })),
  next: 0,
  open: 0
})

export const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })

const sliceAt = ({ slices }: Lane, number: number): Histogram => {
  const histogram = slices[number] ?? createHistogram()
  slices[number] = histogram
  return histogram
}

const send = (lane: Lane, path: string, isPost: boolean, dueMs: number, slice: number): void => {
  const pool = lane.pools[lane.next++ % lane.pools.length] as Pool
  let status = 0
  lane.open++
  const finish = (isAnswered: boolean): void => {
    lane.open--
    lane.requests++
    if (!isAnswered) lane.failures++
    sliceAt(lane, slice).recordValue(Math.max(1, Math.round((performance.now() - dueMs) * 1000)))
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

export const runOpenLoop = async ({ ways, ratePerS, durationMs, seed, path }: OpenLoopOptions): Promise<WayResult[]> => {
  const lanes = ways.map(createLane)
  const random = createRandom(seed)
  const startMs = performance.now()
  const endMs = startMs + durationMs
  const meanGapMs = 1000 / (ratePerS * lanes.length)
  let dueMs = startMs
  let count = 0
  const sendDue = (): void => {
    for (const nowMs = performance.now(); dueMs <= nowMs && dueMs < endMs; dueMs += -Math.log(1 - random.next()) * meanGapMs) {
      send(lanes[count++ % lanes.length] as Lane, path, random.next() < POST_SHARE, dueMs, Math.floor((dueMs - startMs) / SLICE_MS))
    }
  }
  // Timers are only exact to a millisecond, which would send requests in bursts.
  await new Promise<void>(resolve => {
    const turn = (): void => {
      sendDue()
      const nowMs = performance.now()
      const isOver = nowMs >= endMs && (lanes.every(({ open }) => open === 0) || nowMs > endMs + DRAIN_MS)
      if (isOver) resolve()
      else setImmediate(turn)
    }
    turn()
  })
  await Promise.all(lanes.flatMap(({ pools }) => pools.map(pool => pool.destroy())))
  return lanes
}
