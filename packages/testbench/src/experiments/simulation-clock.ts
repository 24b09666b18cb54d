/**
 * Virtual clock of the simulation: runs scheduled calls in order of time.
 */
import TinyQueue from 'tinyqueue'

export type SimulationClock = {
  nowMs: () => number
  at: (timeMs: number, run: () => void) => void
  /** Runs all calls that are scheduled up to endMs. */
  runUntil: (endMs: number) => void
}

type Scheduled = { timeMs: number, order: number, run: () => void }

export const createSimulationClock = (): SimulationClock => {
  const queue = new TinyQueue<Scheduled>([], (a, b) => a.timeMs - b.timeMs || a.order - b.order)
  let nowMs = 0
  let order = 0
  return {
    nowMs: () => nowMs,
    at: (timeMs, run) => { queue.push({ timeMs: Math.max(nowMs, timeMs), order: order++, run }) },
    runUntil: endMs => {
      for (let next = queue.peek(); next && next.timeMs <= endMs; next = queue.peek()) {
        queue.pop()
        nowMs = next.timeMs
        next.run()
      }
      nowMs = endMs
    }
  }
}
