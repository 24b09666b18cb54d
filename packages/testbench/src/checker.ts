/**
 * Checks a run: compares the outcomes reported to callers with the events that
 * the backend servers recorded.
 */
import type { BackendEventWithServer } from './backend/types.js'
import type { CallOutcome } from './load/types.js'

/** Time after the start of a drain from which the backend server must receive no new requests. */
export const DRAIN_LIMIT_MS = 3000

export type Verdict = {
  requests: number
  inTime: number
  notRun: number
  outcomeUnknown: number
  /** Non-idempotent requests that ran more than once, and requests that ran but were reported as not-run. */
  repeated: number
  /** Responses that belong to another request. */
  foreign: number
  /** Responses and uploads that were forwarded as complete but were truncated or changed. */
  truncated: number
  lateAfterDrain: number
  /** Requests that ran but were reported as not-run; included in `repeated`. */
  wronglyNotRun: number
  /** Idempotent requests that got no complete response with a status below 500. */
  lostIdempotent: number
}

export type RunRecord = {
  add: (event: BackendEventWithServer) => void
  events: () => readonly BackendEventWithServer[]
  /** How often a request was started, over all backend servers. */
  runCount: (requestId: string) => number
  /** Resolves with the first event that matches, including earlier events. */
  waitFor: (matches: (event: BackendEventWithServer) => boolean) => Promise<BackendEventWithServer>
}

export const createRunRecord = (): RunRecord => {
  const events: BackendEventWithServer[] = []
  const runs = new Map<string, number>()
  const listeners = new Set<(event: BackendEventWithServer) => void>()
  return {
    add: event => {
      events.push(event)
      if (event.type === 'started') runs.set(event.requestId, (runs.get(event.requestId) ?? 0) + 1)
      for (const listener of [...listeners]) listener(event)
    },
    events: () => events,
    runCount: requestId => runs.get(requestId) ?? 0,
    waitFor: matches => new Promise(resolve => {
      const earlierEvent = events.find(matches)
      if (earlierEvent) {
        resolve(earlierEvent)
        return
      }
      const listener = (event: BackendEventWithServer): void => {
        if (!matches(event)) return
        listeners.delete(listener)
        resolve(event)
      }
      listeners.add(listener)
    })
  }
}

const count = <T>(items: readonly T[], matches: (item: T) => boolean): number => items.filter(matches).length

export const checkRun = (outcomes: readonly CallOutcome[], record: RunRecord): Verdict => {
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

/** Counts the requests that did not end in time, by kind, result, status and code. */
export const countFailures = (outcomes: readonly CallOutcome[]): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const { kind, result, status, code } of outcomes.filter(outcome => outcome.result !== 'in-time')) {
    const name = `${kind} ${result} ${status} ${code ?? ''}`.trim()
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}
