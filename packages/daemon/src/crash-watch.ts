/**
 * Keeps requests under which targets end away from further targets. When the
 * connection of a request that was sent breaks without a response, the target is
 * checked; if it has ended, the requests that this node had at it are suspects
 * (policy/suspect-requests). Nodes tell each other of suspects, but not of one
 * whose repeat is still running, because most of them are answered then. They
 * also tell each other when a suspect was answered after all.
 */
import type { Clock } from '@wisteriavalve/common'
import { createSuspectRequests, type CrashReport } from '@wisteriavalve/policy'
import type { Target, TargetNote } from '@wisteriavalve/schema'
import type { Attempt, Exchange } from './exchange.js'
import type { AttemptPurpose } from './pipeline-context.js'
import { headOf, requestIdentity } from './request-identity.js'
import type { CheckTarget } from './target-check.js'

export type SuspectEvent = CrashReport & {
  requestId: string
  caller: string
  /** Number of targets that ended under the request. */
  crashCount: number
}

export type CrashWatch = {
  /** To be called when the connection of a request broke that was sent to a target and got no complete response. */
  recordLost: (attempt: Attempt) => void
  /** To be called when a target has run and answered a request. */
  recordAnswered: (exchange: Exchange) => void
  /** To be called when a request ended without the answer of a target to this node. */
  recordFailed: (exchange: Exchange) => void
  /** Whether a target ended under the request, as far as any node knows. */
  isSuspect: (exchange: Exchange) => boolean
  /** Whether the request must not be sent to a target, or not once more. */
  isRefused: (exchange: Exchange, purpose: AttemptPurpose) => boolean
  /** What this node knows of a suspect, for the log. */
  describe: (exchange: Exchange) => string
  /** Whether the request may be a suspect, which its body decides. */
  hasSuspectHead: (head: () => string) => boolean
  applyNotes: (notes: readonly TargetNote[]) => void
  /** All that this node knows, for a node that has started. */
  notes: () => TargetNote[]
  suspectCount: () => number
}

export type CrashWatchOptions = {
  clock: Clock
  checkTarget: CheckTarget
  /** Whether the targets seem to have ended because this node does not reach them. */
  isCutOff: () => boolean
  onSuspect: (event: SuspectEvent) => void
  share: (notes: TargetNote[]) => void
}

type LostRequest = { exchange: Exchange, identity: string }

/** Maximum number of requests of one target whose end is being checked. */
const LOST_REQUESTS_MAX = 256
/** Crashes after which a suspect is told to the other nodes while it is still running. */
const CRASHES_BEFORE_SHARING = 2

export const isCrashNote = (note: TargetNote): boolean => note.crashedRequest !== undefined

export const createCrashWatch = ({ clock, checkTarget, isCutOff, onSuspect, share }: CrashWatchOptions): CrashWatch => {
  const suspects = createSuspectRequests(headOf)
  /** Requests that were at a target whose end is being checked, by service and target. */
  const pending = new Map<string, LostRequest[]>()
  /** Crashes that the other nodes do not know yet, by identity. */
  const unshared = new Map<string, CrashReport[]>()

  const toNote = ({ identity, service, targetId, crashedMs }: CrashReport): TargetNote =>
    ({ service, targetId, observation: 'dead', ageMs: Math.max(0, Math.round(clock.nowMs() - crashedMs)), crashedRequest: identity })

  const toAnsweredNote = (identity: string, { runtime, responder }: Exchange): TargetNote =>
    ({ service: runtime.configuration.name, targetId: responder?.targetId ?? '', observation: 'answering', ageMs: 0, crashedRequest: identity })

  const shareCrashes = (identity: string): void => {
    const reports = unshared.get(identity)
    unshared.delete(identity)
    if (reports) share(reports.map(toNote))
  }

  const recordCrash = ({ exchange, identity }: LostRequest, report: CrashReport): void => {
    if (exchange.isAnswered || !suspects.recordCrash(report, clock.nowMs())) return
    const crashCount = suspects.crashCount(identity, clock.nowMs())
    onSuspect({ ...report, requestId: exchange.id, caller: exchange.call.address, crashCount })
    unshared.set(identity, [...unshared.get(identity) ?? [], report])
    if (exchange.phase === 'settled' || crashCount >= CRASHES_BEFORE_SHARING) shareCrashes(identity)
  }

  const startCheck = (key: string, service: string, target: Target): void => {
    const crashedMs = clock.nowMs()
    checkTarget(target, result => {
      const lost = pending.get(key) ?? []
      pending.delete(key)
      if (result !== 'ended' || isCutOff()) return
      for (const request of lost) recordCrash(request, { identity: request.identity, service, targetId: target.id, crashedMs })
    })
  }

  const recordLost = ({ exchange, table, targetId }: Attempt): void => {
    const { runtime } = exchange
    const target = table.target(targetId)
    const identity = requestIdentity(exchange)
    // A target that leaves ends when its time is over, whatever it runs.
    if (!target || identity === undefined || runtime.draining.has(targetId)) return
    const service = runtime.configuration.name
    const key = `${service}/${targetId}`
    const lost = pending.get(key)
    if (lost && lost.length < LOST_REQUESTS_MAX) lost.push({ exchange, identity })
    if (lost) return
    pending.set(key, [{ exchange, identity }])
    startCheck(key, service, target)
  }

  const hasSuspectHead = (head: () => string): boolean => suspects.count() > 0 && suspects.hasGroup(head())

  /** Identity of a request if it can be a suspect; most of the time there is none. */
  const suspectIdentity = (exchange: Exchange): string | undefined => hasSuspectHead(exchange.head) ? requestIdentity(exchange) : undefined

  return {
    recordLost,
    recordAnswered: exchange => {
      const identity = suspectIdentity(exchange)
      const knownCount = identity === undefined ? 0 : suspects.crashCount(identity, clock.nowMs())
      if (identity === undefined || knownCount === 0) return
      if (knownCount > (unshared.get(identity)?.length ?? 0)) share([toAnsweredNote(identity, exchange)])
      suspects.recordAnswered(identity, clock.nowMs())
      unshared.delete(identity)
    },
    recordFailed: exchange => {
      const identity = unshared.size === 0 ? undefined : requestIdentity(exchange)
      if (identity !== undefined) shareCrashes(identity)
    },
    isSuspect: exchange => {
      const identity = suspectIdentity(exchange)
      return identity !== undefined && suspects.crashCount(identity, clock.nowMs()) > 0
    },
    isRefused: (exchange, purpose) => {
      const identity = suspectIdentity(exchange)
      if (identity === undefined) return false
      const nowMs = clock.nowMs()
      return suspects.isBanned(identity, nowMs) || (purpose !== 'first' && !suspects.mayRepeat(identity, nowMs))
    },
    describe: exchange => {
      const identity = requestIdentity(exchange) ?? ''
      return `identity ${identity}, ${suspects.crashCount(identity, clock.nowMs())} targets ended under it`
    },
    hasSuspectHead,
    applyNotes: notes => {
      const nowMs = clock.nowMs()
      for (const { crashedRequest: identity, service, targetId, observation, ageMs } of notes) {
        if (identity === undefined) continue
        if (observation === 'answering') suspects.recordAnswered(identity, nowMs - ageMs)
        else suspects.recordCrash({ identity, service, targetId, crashedMs: nowMs - ageMs }, nowMs)
      }
    },
    notes: () => suspects.reports(clock.nowMs()).map(toNote),
    suspectCount: suspects.count
  }
}
