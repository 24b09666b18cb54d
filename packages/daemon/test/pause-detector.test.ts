/**
 * Guards against pauses of the process that no decision notices, and against an
 * idle process that wakes up as often as a busy one to look for them.
 */
import { createManualClock } from '@wisteriavalve/common'
import test from 'ava'
import { createPauseDetector } from '../src/pause-detector.js'

const INTERVAL_MS = 50
const IDLE_INTERVAL_MS = 200
const THRESHOLD_MS = 500

const startDetector = () => {
  const manual = createManualClock(1_000)
  /** Time that the process did not run, which the clock counts and no timer sees. */
  let pausedMs = 0
  const clock = { nowMs: () => manual.nowMs() + pausedMs, after: manual.after }
  const ticks: number[] = []
  const pauses: number[] = []
  let isIdle = false
  const detector = createPauseDetector({
    clock,
    intervalMs: INTERVAL_MS,
    idleIntervalMs: IDLE_INTERVAL_MS,
    isIdle: () => isIdle,
    thresholdMs: THRESHOLD_MS,
    onPause: gapMs => { pauses.push(gapMs) },
    onTick: nowMs => { ticks.push(nowMs) }
  })
  return {
    detector,
    nowMs: clock.nowMs,
    advance: manual.advance,
    pause: (durationMs: number) => { pausedMs += durationMs },
    setIdle: (idle: boolean) => { isIdle = idle },
    pauses,
    takeTicks: () => ticks.splice(0).length
  }
}

for (const isIdle of [false, true]) {
  test(`a decision right after a pause is in a new epoch, in a process that is ${isIdle ? 'idle' : 'busy'}`, t => {
    const { detector, nowMs, advance, pause, setIdle, pauses } = startDetector()
    setIdle(isIdle)
    advance(2_000)
    const before = detector.epoch(nowMs())
    pause(700)
    t.is(detector.epoch(nowMs()), before + 1)
    t.is(pauses.length, 1)
    advance(2_000)
    t.is(detector.epoch(nowMs()), before + 1)
  })
}

test('an idle process checks five times a second, and a busy one each 50 ms from its first decision on', t => {
  const { detector, nowMs, advance, setIdle, takeTicks } = startDetector()
  advance(1_000)
  t.is(takeTicks(), 20)
  setIdle(true)
  advance(300)
  takeTicks()
  advance(2_000)
  t.is(takeTicks(), 10)
  setIdle(false)
  detector.epoch(nowMs())
  advance(1_000)
  t.true(takeTicks() >= 19)
})
