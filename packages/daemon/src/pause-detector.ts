/**
 * Notices that the process did not run for a while: stopped, starved of
 * processor time, or blocked. Each pause begins a new epoch. Whoever decides
 * something remembers the epoch and compares it before acting, because after a
 * pause a socket event may run before any timer.
 */
import type { Cancel, Clock } from '@wisteriavalve/common'

export type PauseDetector = {
  /** Epoch at this time; notices a pause that ended just now. */
  epoch: (nowMs: number) => number
  stop: () => void
}

export type PauseDetectorOptions = {
  clock: Clock
  beatMs: number
  gapMs: number
  onPause: (gapMs: number, nowMs: number) => void
  /** Called on each beat, with how much later than planned it ran. */
  onBeat: (nowMs: number, lateMs: number) => void
}

export const createPauseDetector = ({ clock, beatMs, gapMs, onPause, onBeat }: PauseDetectorOptions): PauseDetector => {
  let lastBeatMs = clock.nowMs()
  let dueMs = lastBeatMs + beatMs
  let epoch = 0
  let cancel: Cancel

  const check = (nowMs: number): number => {
    const elapsedMs = nowMs - lastBeatMs
    if (elapsedMs <= gapMs) return epoch
    lastBeatMs = nowMs
    epoch++
    onPause(elapsedMs, nowMs)
    return epoch
  }

  const beat = (): void => {
    const nowMs = clock.nowMs()
    const lateMs = Math.max(0, nowMs - dueMs)
    check(nowMs)
    lastBeatMs = nowMs
    dueMs = nowMs + beatMs
    onBeat(nowMs, lateMs)
    cancel = clock.after(beatMs, beat)
  }

  cancel = clock.after(beatMs, beat)
  return { epoch: check, stop: () => cancel() }
}
