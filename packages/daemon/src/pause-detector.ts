/**
 * Detects periods in which the process did not run, because it was stopped,
 * got no CPU time or was blocked. Each pause starts a new epoch. A decision is
 * stored with its epoch, which is compared before the decision is carried out:
 * after a pause, a socket event may run before any timer. A process without work
 * checks less often; each decision asks for the epoch, which ends that.
 */
import { alignedDelayMs, type Cancel, type Clock } from '@wisteriavalve/common'

export type PauseDetector = {
  /** Current epoch. Also detects a pause that has just ended. */
  epoch: (nowMs: number) => number
  /** How late the last timer of this process ran, or the next one already is, in ms. */
  delayMs: () => number
  stop: () => void
}

export type PauseDetectorOptions = {
  clock: Clock
  intervalMs: number
  /** Interval while the process is idle; must be below the threshold. */
  idleIntervalMs: number
  isIdle: () => boolean
  thresholdMs: number
  onPause: (gapMs: number, nowMs: number) => void
  /** Called at each interval, with the delay against the schedule. */
  onTick: (nowMs: number, lateMs: number) => void
}

export const createPauseDetector = ({ clock, intervalMs, idleIntervalMs, isIdle, thresholdMs, onPause, onTick }: PauseDetectorOptions): PauseDetector => {
  let lastTickMs = clock.nowMs()
  let dueMs = lastTickMs
  let scheduledIntervalMs = intervalMs
  let epoch = 0
  let lastDelayMs = 0
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
    lastDelayMs = lateMs
    check(nowMs)
    lastTickMs = nowMs
    onTick(nowMs, lateMs)
    schedule(nowMs, isIdle() ? idleIntervalMs : intervalMs)
  }

  const schedule = (nowMs: number, nextIntervalMs: number): void => {
    const delayMs = alignedDelayMs(nowMs, nextIntervalMs)
    scheduledIntervalMs = nextIntervalMs
    dueMs = nowMs + delayMs
    cancel = clock.after(delayMs, tick)
  }

  const readEpoch = (nowMs: number): number => {
    const current = check(nowMs)
    if (scheduledIntervalMs !== intervalMs) {
      cancel()
      schedule(nowMs, intervalMs)
    }
    return current
  }

  schedule(lastTickMs, intervalMs)
  return { epoch: readEpoch, delayMs: () => Math.max(lastDelayMs, clock.nowMs() - dueMs), stop: () => cancel() }
}
