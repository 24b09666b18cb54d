/**
 * Guards against calls of the manual clock that run late, twice or out of order,
 * and against periodic work that wakes a process more often than its shortest
 * interval.
 */
import test from 'ava'
import { alignedDelayMs, createManualClock, createRandom } from '../src/index.js'

test('scheduled calls run in order of time, including calls that they schedule', t => {
  const clock = createManualClock(100)
  const calls: string[] = []
  clock.after(20, () => calls.push(`b@${clock.nowMs()}`))
  clock.after(10, () => {
    calls.push(`a@${clock.nowMs()}`)
    clock.after(5, () => calls.push(`c@${clock.nowMs()}`))
  })
  clock.advance(30)
  t.deepEqual(calls, ['a@110', 'c@115', 'b@120'])
  t.is(clock.nowMs(), 130)
})

test('a cancelled call does not run', t => {
  const clock = createManualClock()
  const cancel = clock.after(10, () => t.fail())
  cancel()
  clock.advance(20)
  t.is(clock.nowMs(), 20)
})

test('periodic work of several intervals wakes up once for each of the shortest, however late its timers fire', t => {
  const clock = createManualClock(1_234.5)
  const random = createRandom(3)
  const wakeUps = new Set<number>()
  const runCounts = new Map<number, number>()
  const repeat = (intervalMs: number): void => {
    const schedule = (): void => {
      const dueMs = clock.nowMs() + alignedDelayMs(clock.nowMs(), intervalMs)
      // Timers fire up to 3 ms late, or a fraction of one early.
      clock.after(dueMs - clock.nowMs() + random.next() * 3 - 0.5, () => {
        wakeUps.add(Math.round(dueMs))
        runCounts.set(intervalMs, (runCounts.get(intervalMs) ?? 0) + 1)
        schedule()
      })
    }
    schedule()
  }
  for (const intervalMs of [50, 100, 250]) repeat(intervalMs)
  clock.advance(10_000)
  t.true(wakeUps.size <= 201, `${wakeUps.size} wake-ups`)
  for (const [intervalMs, count] of runCounts) t.true(Math.abs(count - 10_000 / intervalMs) <= 1, `${count} runs each ${intervalMs} ms`)
})
