/**
 * Backend server of the experiment: slots, a bounded first-come queue, and a
 * speed that noisy neighbours change. The speed follows its own seeded
 * sequence, so every policy meets the same neighbours.
 */
import { createRandom } from '@wisteriavalve/common'
import type { SimulationClock } from './simulation-clock.js'

export type Neighbours = { quietMs: number, noisyMs: number, slowdown: number }

export type TargetBehaviour = {
  slots: number
  neighbours: Neighbours
  /** Constant slowdown from fromMs on, such as a straggler's. */
  slowdown: number
  slowFromMs: number
  /** Answers with a failure at once from this time on. */
  failFastFromMs: number
  /** Refuses connections from this time on and loses what runs. */
  deadFromMs: number
  drainFromMs: number
}

export type TargetAnswer = { outcome: 'ok' | 'refused' | 'error-status' | 'connect-failed' | 'reset', inFlight: number, draining: boolean }

export type Work = { workMs: number, done: (answer: TargetAnswer) => void, cancelled: boolean, running: boolean }

/** Requests that wait at a target, per slot, before it sheds load. */
const QUEUE_PER_SLOT = 4

const exponential = (meanMs: number, uniform: number): number => -meanMs * Math.log(1 - uniform)

/** Speed of a target over time, generated as far as it is asked for. */
const createSpeed = (behaviour: TargetBehaviour, seed: number) => {
  const random = createRandom(seed)
  const { quietMs, noisyMs, slowdown } = behaviour.neighbours
  const changes: { atMs: number, speed: number }[] = [{ atMs: 0, speed: 1 }]
  let endMs = exponential(quietMs, random.next())

  const extend = (): void => {
    const noisy = changes.length % 2 === 1
    changes.push({ atMs: endMs, speed: noisy ? 1 / slowdown : 1 })
    endMs += exponential(noisy ? noisyMs : quietMs, random.next())
  }

  let hint = 0
  /** Time at which an amount of work that starts now is done. */
  return (startMs: number, workMs: number): number => {
    for (let last = endMs; last <= startMs; last = endMs) extend()
    while (hint > 0 && (changes[hint] as { atMs: number }).atMs > startMs) hint--
    while (hint + 1 < changes.length && (changes[hint + 1] as { atMs: number }).atMs <= startMs) hint++
    let index = hint
    let atMs = startMs
    let leftMs = workMs
    for (;;) {
      if (index + 1 >= changes.length) extend()
      const extra = atMs >= behaviour.slowFromMs ? behaviour.slowdown : 1
      const speed = (changes[index] as { speed: number }).speed / extra
      const untilMs = (changes[index + 1] as { atMs: number }).atMs
      if ((untilMs - atMs) * speed >= leftMs) return atMs + leftMs / speed
      leftMs -= (untilMs - atMs) * speed
      atMs = untilMs
      index++
    }
  }
}

export const createSimulatedTarget = (clock: SimulationClock, behaviour: TargetBehaviour, seed: number) => {
  const finishTime = createSpeed(behaviour, seed)
  const queue: Work[] = []
  const active = new Set<Work>()
  const counts = { ran: 0, lateAfterDrain: 0 }

  const inFlight = (): number => active.size + queue.length
  const answer = (work: Work, outcome: TargetAnswer['outcome']): void =>
    work.done({ outcome, inFlight: inFlight(), draining: clock.nowMs() >= behaviour.drainFromMs })

  const finish = (work: Work): void => {
    if (!active.delete(work)) return
    if (!work.cancelled) answer(work, 'ok')
    startNext()
  }

  const startNext = (): void => {
    while (active.size < behaviour.slots && queue.length > 0) {
      const work = queue.shift() as Work
      if (work.cancelled) continue
      active.add(work)
      work.running = true
      counts.ran++
      clock.at(finishTime(clock.nowMs(), work.workMs), () => finish(work))
    }
  }

  const arrive = (work: Work): void => {
    const nowMs = clock.nowMs()
    if (nowMs >= behaviour.deadFromMs) answer(work, 'connect-failed')
    else if (nowMs >= behaviour.failFastFromMs) answer(work, 'error-status')
    else if (queue.length >= QUEUE_PER_SLOT * behaviour.slots) answer(work, 'refused')
    else {
      if (nowMs >= behaviour.drainFromMs + 3000) counts.lateAfterDrain++
      queue.push(work)
      startNext()
    }
  }

  const cancel = (work: Work): void => {
    work.cancelled = true
    const position = queue.indexOf(work)
    if (position >= 0) queue.splice(position, 1)
    else if (active.delete(work)) startNext()
  }

  const die = (): void => {
    for (const work of [...active, ...queue]) if (!work.cancelled) answer(work, 'reset')
    active.clear()
    queue.length = 0
  }
  if (behaviour.deadFromMs < Infinity) clock.at(behaviour.deadFromMs, die)

  return { arrive, cancel, inFlight, counts }
}

export type SimulatedTarget = ReturnType<typeof createSimulatedTarget>
