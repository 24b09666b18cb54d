/**
 * Bounds the time that costly pieces of work take in one turn of the event loop,
 * so that all other work of the turn is not delayed by many of them. What does not
 * fit waits for a later turn, in the order of arrival.
 */

export type TurnBudget = {
  /**
   * Starts a piece of work if this turn has time left, and runs `retry` in a
   * later turn otherwise.
   */
  tryStart: (retry: () => void) => boolean
  /** Ends the piece that was started, if any. */
  end: () => void
}

export type TurnBudgetOptions = {
  /** Time in a turn after which no further piece starts. */
  turnMs: number
  nowMs: () => number
  /** Runs a function in the next turn. */
  schedule: (run: () => void) => void
}

export const createTurnBudget = ({ turnMs, nowMs, schedule }: TurnBudgetOptions): TurnBudget => {
  const waiting: (() => void)[] = []
  let spentMs = 0
  let startedMs: number | undefined
  let isScheduled = false

  const hasTime = (): boolean => spentMs < turnMs

  const beginTurn = (): void => {
    isScheduled = false
    spentMs = 0
    for (let retry = waiting.shift(); retry !== undefined; retry = hasTime() ? waiting.shift() : undefined) retry()
    if (waiting.length > 0) scheduleTurn()
  }

  const scheduleTurn = (): void => {
    if (isScheduled) return
    isScheduled = true
    schedule(beginTurn)
  }

  return {
    tryStart: retry => {
      if (hasTime()) {
        startedMs = nowMs()
        return true
      }
      waiting.push(retry)
      scheduleTurn()
      return false
    },
    end: () => {
      if (startedMs === undefined) return
      spentMs += nowMs() - startedMs
      startedMs = undefined
      scheduleTurn()
    }
  }
}
