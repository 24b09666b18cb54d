/**
 * Watches for requests under which targets end. When the connection of a request
 * that was sent breaks without a response, the target is checked; if it has ended,
 * the requests that this node had at it are suspects (policy/suspect-requests).
 */
import type { Clock } from '@wisteriavalve/common'
import { createSuspectRequests, type CrashReport, type SuspectRequests } from '@wisteriavalve/policy'
import type { Target } from '@wisteriavalve/schema'
import type { Attempt, Exchange } from './exchange.js'
import { requestIdentity } from './request-identity.js'
import type { CheckTarget } from './target-check.js'

export type SuspectEvent = CrashReport & {
  requestId: string
  caller: string
  /** Number of targets that ended under the request. */
  crashCount: number
}

export type CrashWatch = {
  suspects: SuspectRequests
  /** To be called when the connection of a request broke that was sent to a target and got no complete response. */
  recordLost: (attempt: Attempt) => void
}

export type CrashWatchOptions = {
  clock: Clock
  checkTarget: CheckTarget
  /** Whether the targets seem to have ended because this node does not reach them. */
  isCutOff: () => boolean
  onSuspect: (event: SuspectEvent) => void
}

type LostRequest = { exchange: Exchange, identity: string }

/** Further requests of one target whose end is being checked. */
const LOST_REQUESTS_MAX = 256

export const createCrashWatch = ({ clock, checkTarget, isCutOff, onSuspect }: CrashWatchOptions): CrashWatch => {
  const suspects = createSuspectRequests()
  /** Requests that were at a target whose end is being checked, by service and target. */
  const pending = new Map<string, LostRequest[]>()

  const recordCrash = ({ exchange, identity }: LostRequest, report: CrashReport): void => {
    if (exchange.isAnswered || !suspects.recordCrash(report, clock.nowMs())) return
    onSuspect({ ...report, requestId: exchange.id, caller: exchange.call.address, crashCount: suspects.crashCount(identity, clock.nowMs()) })
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

  return { suspects, recordLost }
}
