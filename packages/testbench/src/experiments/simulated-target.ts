/**
 * Simulated backend server with slots, a bounded FIFO queue, and a speed that
 * noisy neighbours change. The speed has its own seeded random source, so all
 * policies are exposed to the same noisy neighbours.
 */
import { createRandom } from '@wisteriavalve/common'
import type { LoadReport } from '@wisteriavalve/policy'
import type { SimulationClock } from './simulation-clock.js'

export type Neighbours = { quietMs: number, noisyMs: number, slowdown: number }

export type TargetBehaviour = {
  slots: number
  neighbours: Neighbours
  /** Constant slowdown from slowFromMs on, such as that of a straggler. */
  slowdown: number
  slowFromMs: number
  /** From this time on every request fails immediately. */
  failFastFromMs: number
  /** From this time on connections are refused; queued and running requests are lost. */
  crashFromMs: number
  drainFromMs: number
  /** Queue length per slot from which the target sheds load; QUEUE_PER_SLOT if absent. */
  queuePerSlot?: number
  /** What a target does with a request while its slots are taken; by default it queues it. */
  whenFull?: 'reset' | 'refused'
}

export type TargetResponse = { outcome: 'ok' | 'refused' | 'error-status' | 'connect-failed' | 'reset', inFlight: number, slowdown: number, isDraining: boolean }

export type Work = { workMs: number, done: (response: TargetResponse) => void, isCancelled: boolean, hasStarted: boolean }

/** Queue length per slot from which a target sheds load. */
const QUEUE_PER_SLOT = 4

/** Amount of work that shows the current speed. */
const SAMPLE_WORK_MS = 0.01

const toExponential = (meanMs: number, uniform: number): number => -meanMs * Math.log(1 - uniform)

/** Creates the function that gives finish times from the speed of a target over time. The speed sequence is generated on demand. */
const createFinishTime = (behaviour: TargetBehaviour, seed: number) => {
  const random = createRandom(seed)
  const { quietMs, noisyMs, slowdown } = behaviour.neighbours
  const changes: { atMs: number, speed: number }[] = [{ atMs: 0, speed: 1 }]
  let endMs = toExponential(quietMs, random.next())

  const extend = (): void => {
    const isNoisy = changes.length % 2 === 1
    changes.push({ atMs: endMs, speed: isNoisy ? 1 / slowdown : 1 })
    endMs += toExponential(isNoisy ? noisyMs : quietMs, random.next())
  }

  let lastIndex = 0
  /** Time at which an amount of work that starts at startMs is finished. */
  return (startMs: number, workMs: number): number => {
    for (let last = endMs; last <= startMs; last = endMs) extend()
    while (lastIndex > 0 && (changes[lastIndex] as { atMs: number }).atMs > startMs) lastIndex--
    while (lastIndex + 1 < changes.length && (changes[lastIndex + 1] as { atMs: number }).atMs <= startMs) lastIndex++
    let index = lastIndex
    let atMs = startMs
    let leftMs = workMs
    for (;;) {
      if (index + 1 >= changes.length) extend()
      const extraSlowdown = atMs >= behaviour.slowFromMs ? behaviour.slowdown : 1
      const speed = (changes[index] as { speed: number }).speed / extraSlowdown
      const untilMs = (changes[index + 1] as { atMs: number }).atMs
      if ((untilMs - atMs) * speed >= leftMs) return atMs + leftMs / speed
      leftMs -= (untilMs - atMs) * speed
      atMs = untilMs
      index++
    }
  }
}

export const createSimulatedTarget = (clock: SimulationClock, behaviour: TargetBehaviour, seed: number) => {
  const finishTime = createFinishTime(behaviour, seed)
  const queue: Work[] = []
  const active = new Set<Work>()
  const queueLengthMax = (behaviour.queuePerSlot ?? QUEUE_PER_SLOT) * behaviour.slots
  const counts = { ran: 0, lateAfterDrain: 0 }

  const inFlight = (): number => active.size + queue.length
  /** Current processing time relative to the usual one, from the finish time of a very small amount of work. */
  const slowdown = (): number => (finishTime(clock.nowMs(), SAMPLE_WORK_MS) - clock.nowMs()) / SAMPLE_WORK_MS
  const respond = (work: Work, outcome: TargetResponse['outcome']): void =>
    work.done({ outcome, inFlight: inFlight(), slowdown: slowdown(), isDraining: clock.nowMs() >= behaviour.drainFromMs })

  const finish = (work: Work): void => {
    if (!active.delete(work)) return
    if (!work.isCancelled) respond(work, 'ok')
    startNext()
  }

  const startNext = (): void => {
    while (active.size < behaviour.slots && queue.length > 0) {
      const work = queue.shift() as Work
      if (work.isCancelled) continue
      active.add(work)
      work.hasStarted = true
      counts.ran++
      clock.at(finishTime(clock.nowMs(), work.workMs), () => finish(work))
    }
  }

  const arrive = (work: Work): void => {
    const nowMs = clock.nowMs()
    if (nowMs >= behaviour.crashFromMs) respond(work, 'connect-failed')
    else if (nowMs >= behaviour.failFastFromMs) respond(work, 'error-status')
    else if (behaviour.whenFull && active.size >= behaviour.slots) respond(work, behaviour.whenFull)
    else if (active.size >= behaviour.slots && queue.length >= queueLengthMax) respond(work, 'refused')
    else {
      if (nowMs >= behaviour.drainFromMs + 3000) counts.lateAfterDrain++
      queue.push(work)
      startNext()
    }
  }

  const cancel = (work: Work): void => {
    work.isCancelled = true
    const position = queue.indexOf(work)
    if (position >= 0) queue.splice(position, 1)
    else if (active.delete(work)) startNext()
  }

  const crash = (): void => {
    for (const work of [...active, ...queue]) if (!work.isCancelled) respond(work, 'reset')
    active.clear()
    queue.length = 0
  }
  if (behaviour.crashFromMs < Infinity) clock.at(behaviour.crashFromMs, crash)

  /** Undefined if the target does not answer probes. */
  const report = (): LoadReport | undefined =>
    clock.nowMs() >= behaviour.crashFromMs ? undefined : { inFlight: inFlight(), slots: behaviour.slots, slowdown: slowdown() }

  return { arrive, cancel, inFlight, report, counts }
}

export type SimulatedTarget = ReturnType<typeof createSimulatedTarget>
