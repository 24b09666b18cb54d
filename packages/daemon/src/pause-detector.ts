/**
 * Detects periods in which the process did not run, because it was stopped,
 * got no CPU time or was blocked. Each pause starts a new epoch. A decision is
 * stored with its epoch, which is compared before the decision is carried out:
 * after a pause, a socket event may run before any timer.
 */
import { alignedDelayMs, type Cancel, type Clock } from '@wisteriavalve/common'

export type PauseDetector = {
  /** Current epoch. Also detects a pause that has just ended. */
  epoch: (nowMs: number) => number
  stop: () => void
}

export type PauseDetectorOptions = {
  clock: Clock
  intervalMs: number
  thresholdMs: number
  onPause: (gapMs: number, nowMs: number) => void
  /** Called at each interval, with the delay against the schedule. */
  onTick: (nowMs: number, lateMs: number) => void
}

export const createPauseDetector = ({ clock, intervalMs, thresholdMs, onPause, onTick }: PauseDetectorOptions): PauseDetector => {
  let lastTickMs = clock.nowMs()
  let dueMs = lastTickMs
  let epoch = 0
  let cancel: Cancel = () => {}

  const check = (nowMs: number): number => {
    const elapsedMs = nowMs - lastTickMs
    if (elapsedMs <= thresholdMs) return epoch
    lastTickMs = nowMs
    epoch++
    onPause(elapsedMs, nowMs)
    return epoch
  }

  const tick = (): void => {
    const nowMs = clock.nowMs()
    const lateMs = Math.max(0, nowMs - dueMs)
    check(nowMs)
    lastTickMs = nowMs
    onTick(nowMs, lateMs)
    schedule(nowMs)
  }

  const schedule = (nowMs: number): void => {
    const delayMs = alignedDelayMs(nowMs, intervalMs)
    dueMs = nowMs + delayMs
    cancel = clock.after(delayMs, tick)
  }

  schedule(lastTickMs)
  return { epoch: check, stop: () => cancel() }
}
