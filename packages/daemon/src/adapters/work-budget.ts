/**
 * Bounds the time that costly pieces of work take in a row, with a pause behind
 * it, so that many of them neither delay other work nor use up the processor. What
 * does not fit waits until after the pause, in the order of arrival.
 */

export type WorkBudget = {
  /**
   * Starts a piece of work if time is left, and runs `retry` after a pause
   * otherwise.
   */
  tryStart: (retry: () => void) => boolean
  /** Ends the piece that was started, if any. */
  end: () => void
}

export type WorkBudgetOptions = {
  /** Time in a row after which no further piece starts. */
  workMs: number
  nowMs: () => number
  /** Runs a function after the pause. */
  schedule: (run: () => void) => void
}

export const createWorkBudget = ({ workMs, nowMs, schedule }: WorkBudgetOptions): WorkBudget => {
  const waiting: (() => void)[] = []
  let spentMs = 0
  let startedMs: number | undefined
  let isScheduled = false

  const hasTime = (): boolean => spentMs < workMs

  const beginWork = (): void => {
    isScheduled = false
    spentMs = 0
    for (let retry = waiting.shift(); retry !== undefined; retry = hasTime() ? waiting.shift() : undefined) retry()
    if (waiting.length > 0) schedulePause()
  }

  const schedulePause = (): void => {
    if (isScheduled) return
    isScheduled = true
    schedule(beginWork)
  }

  return {
    tryStart: retry => {
      if (hasTime()) {
        startedMs = nowMs()
        return true
      }
      waiting.push(retry)
      schedulePause()
      return false
    },
    end: () => {
      if (startedMs === undefined) return
      spentMs += nowMs() - startedMs
      startedMs = undefined
      schedulePause()
    }
  }
}
