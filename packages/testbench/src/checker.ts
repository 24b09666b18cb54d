/**
 * Verdict over a run: compares what callers were told with what the backend
 * servers recorded.
 */
import type { BackendEventWithServer } from './backend/types.js'
import type { CallOutcome } from './load/types.js'

/** A draining backend server receives no new work later than this after the first sign. */
export const DRAIN_LIMIT_MS = 3000

export type Verdict = {
  requests: number
  inTime: number
  notRun: number
  outcomeUnknown: number
  /** Non-idempotent requests that ran more than once, and requests that ran though their caller was told that they did not. */
  repeated: number
  /** Answers that belong to another request. */
  foreign: number
  /** Answers and uploads that were passed on as whole but are not. */
  truncated: number
  lateAfterDrain: number
  /** The part of `repeated` that ran though its caller was told that it did not. */
  wronglyNotRun: number
  /** Idempotent requests that did not end with an answer of a backend server. */
  lostIdempotent: number
}

export type RunRecord = {
  add: (event: BackendEventWithServer) => void
  events: () => readonly BackendEventWithServer[]
  /** How often a request began to run, over all backend servers. */
  runCount: (requestId: string) => number
  /** Resolves with the first event, also a past one, that matches. */
  waitFor: (matches: (event: BackendEventWithServer) => boolean) => Promise<BackendEventWithServer>
}

export const createRunRecord = (): RunRecord => {
  const events: BackendEventWithServer[] = []
  const runs = new Map<string, number>()
  const waiting = new Set<(event: BackendEventWithServer) => void>()
  return {
    add: event => {
      events.push(event)
      if (event.type === 'started') runs.set(event.requestId, (runs.get(event.requestId) ?? 0) + 1)
      for (const notify of [...waiting]) notify(event)
    },
    events: () => events,
    runCount: requestId => runs.get(requestId) ?? 0,
    waitFor: matches => new Promise(resolve => {
      const past = events.find(matches)
      if (past) {
        resolve(past)
        return
      }
      const notify = (event: BackendEventWithServer): void => {
        if (!matches(event)) return
        waiting.delete(notify)
        resolve(event)
      }
      waiting.add(notify)
    })
  }
}

const count = <T>(items: readonly T[], matches: (item: T) => boolean): number => items.filter(matches).length

export const judgeRun = (outcomes: readonly CallOutcome[], record: RunRecord): Verdict => {
  const events = record.events()
  const ranTwice = (outcome: CallOutcome): boolean => !outcome.idempotent && record.runCount(outcome.requestId) > 1
  const ranThoughNotRun = (outcome: CallOutcome): boolean => outcome.result === 'not-run' && record.runCount(outcome.requestId) > 0
  return {
    requests: outcomes.length,
    inTime: count(outcomes, outcome => outcome.result === 'in-time'),
    notRun: count(outcomes, outcome => outcome.result === 'not-run'),
    outcomeUnknown: count(outcomes, outcome => outcome.result === 'outcome-unknown'),
    repeated: count(outcomes, outcome => ranTwice(outcome) || ranThoughNotRun(outcome)),
    foreign: count(outcomes, outcome => outcome.answer === 'foreign'),
    truncated: count(outcomes, outcome => outcome.answer === 'broken') +
      count(events, event => event.type === 'upload' && event.complete && !event.intact),
    lateAfterDrain: count(events, event => event.type === 'arrived-after-drain' && event.afterDrainMs > DRAIN_LIMIT_MS),
    wronglyNotRun: count(outcomes, ranThoughNotRun),
    lostIdempotent: count(outcomes, outcome => outcome.idempotent && outcome.result !== 'in-time' && outcome.result !== 'late')
  }
}

/** Requests that did not end in time, counted by kind, result, status and code; empty when all did. */
export const tallyFailures = (outcomes: readonly CallOutcome[]): Record<string, number> => {
  const tally: Record<string, number> = {}
  for (const { kind, result, status, code } of outcomes.filter(outcome => outcome.result !== 'in-time')) {
    const name = `${kind} ${result} ${status} ${code ?? ''}`.trim()
    tally[name] = (tally[name] ?? 0) + 1
  }
  return tally
}
