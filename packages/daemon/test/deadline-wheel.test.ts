/**
 * Guards against deadlines that run late, early or after they were cancelled,
 * and against a wheel that wakes the process while no deadline is due: with one
 * request under way, each tick cost a node 200 wake-ups a second.
 */
import { createManualClock, createRandom, type Clock } from '@wisteriavalve/common'
import test from 'ava'
import { createDeadlineWheel } from '../src/deadline-wheel.js'

const TICK_MS = 5

const startWheel = () => {
  const clock = createManualClock(1_000)
  let wakeUps = 0
  const counted: Clock = {
    nowMs: clock.nowMs,
    after: (delayMs, run) => clock.after(delayMs, () => {
      wakeUps++
      run()
    })
  }
  return { clock, wheel: createDeadlineWheel(counted, TICK_MS), wakeUps: () => wakeUps }
}

test('a wheel with one far deadline does not wake up before it', t => {
  const { clock, wheel, wakeUps } = startWheel()
  let ranMs = 0
  wheel.schedule(clock.nowMs() + 2_500, () => { ranMs = clock.nowMs() })
  clock.advance(2_499)
  t.is(ranMs, 0)
  t.true(wakeUps() <= 1, `${wakeUps()} wake-ups`)
  clock.advance(1 + TICK_MS)
  t.true(ranMs >= 3_500 && ranMs <= 3_500 + TICK_MS, `${ranMs}`)
})

test('a wheel whose requests end before their deadlines wakes up once for many of them', t => {
  const { clock, wheel, wakeUps } = startWheel()
  for (let count = 0; count < 100; count++) {
    const entry = wheel.schedule(clock.nowMs() + 2_000, () => t.fail('the deadline was cancelled'))
    clock.advance(20)
    wheel.cancel(entry)
  }
  clock.advance(5_000)
  t.true(wakeUps() <= 3, `${wakeUps()} wake-ups`)
  t.is(wheel.size(), 0)
})

test('a nearer deadline is not delayed by one that is far away', t => {
  const { clock, wheel } = startWheel()
  const ran: string[] = []
  wheel.schedule(clock.nowMs() + 60_000, () => ran.push('far'))
  clock.advance(100)
  wheel.schedule(clock.nowMs() + 30, () => ran.push('near'))
  clock.advance(30 + TICK_MS)
  t.deepEqual(ran, ['near'])
})

test('each of many random deadlines runs once, in its tick or the next one, unless it is cancelled', t => {
  const { clock, wheel } = startWheel()
  const random = createRandom(5)
  const wrong: string[] = []
  let pending = 0
  let cancelled = 0
  const scheduleOne = (depth: number): void => {
    const atMs = clock.nowMs() + random.int(random.next() < 0.9 ? 300 : 20_000)
    pending++
    const entry = wheel.schedule(atMs, () => {
      pending--
      const lateMs = clock.nowMs() - atMs
      if (lateMs < 0 || lateMs > 2 * TICK_MS) wrong.push(`${lateMs} ms`)
      if (depth > 0) scheduleOne(depth - 1)
    })
    if (random.next() < 0.3) {
      wheel.cancel(entry)
      wheel.cancel(entry)
      pending--
      cancelled++
    }
  }
  for (let step = 0; step < 2_000; step++) {
    scheduleOne(2)
    clock.advance(random.int(40))
  }
  clock.advance(60_000)
  t.deepEqual(wrong, [])
  t.true(cancelled > 100)
  t.is(pending, 0)
  t.is(wheel.size(), 0)
})
