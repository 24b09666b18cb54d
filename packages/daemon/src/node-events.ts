/**
 * Events of this node that do not belong to a single request. Each is logged
 * and recorded as a sentence for explain.
 */
import type { Clock, EventRecord } from '@wisteriavalve/common'
import type { FailureSeries, TargetHealth, WarmupReason } from '@wisteriavalve/policy'
import type { EventEntry } from '@wisteriavalve/schema'
import type { ExplainQuery } from './admin-api.js'
import type { SuspectEvent } from './crash-watch.js'
import type { Log } from './types.js'

/** What a node gets from its targets. */
export type ReachabilityKind = 'response' | 'connection'

export type NodeEvents = {
  recordTargetHealth: (service: string, targetId: string, health: TargetHealth, reason: string) => void
  /** @param limitPerS undefined at the end of the limit */
  recordRequestLimit: (service: string, targetId: string, limitPerS: number | undefined) => void
  recordWarmup: (service: string, targetId: string, isCold: boolean, reason: WarmupReason) => void
  recordTargetPause: (service: string, targetId: string, pauseMs: number) => void
  recordConnectionsRetired: (service: string, targetId: string, count: number) => void
  recordProcessPause: (gapMs: number) => void
  recordReachability: (kind: ReachabilityKind, isLost: boolean, series: FailureSeries) => void
  recordSuspect: (event: SuspectEvent) => void
  find: (query: ExplainQuery) => EventEntry[]
}

export type NodeEventsOptions = { clock: Clock, events: EventRecord, log: Log }

const matcher = ({ requestId, service, targetId, withinMs, automaticOnly }: ExplainQuery, nowMs: number) => (entry: EventEntry): boolean =>
  (requestId === undefined || entry.requestId === requestId) &&
  (service === undefined || entry.service === service) &&
  (targetId === undefined || entry.targetId === targetId) &&
  (withinMs === undefined || entry.atMs >= nowMs - withinMs) &&
  (automaticOnly !== true || entry.automatic === true)

const HEALTH_TEXT: Record<TargetHealth, string> = {
  cold: 'starts with few requests',
  ready: 'gets its full share of requests',
  draining: 'gets no new requests',
  ejected: 'was taken out for a while',
  probation: 'is tested with a few requests',
  gone: 'is not used any more'
}

/** A target may change its limit with each response. */
const LIMIT_LINE_INTERVAL_MS = 1_000

export const createNodeEvents = ({ clock, events, log }: NodeEventsOptions): NodeEvents => {
  const add = (entry: Omit<EventEntry, 'atMs' | 'wallMs' | 'automatic'>): void =>
    events.add({ atMs: Math.round(clock.nowMs()), wallMs: Date.now(), automatic: true, ...entry })

  const limitLoggedMs = new Map<string, number>()

  return {
    recordTargetHealth: (service, targetId, health, reason) => {
      log('target_state', { service, target: targetId, state: health, reason })
      add({ event: 'target_state', service, targetId, text: `Target ${targetId} of ${service} ${HEALTH_TEXT[health]}: ${reason}.` })
    },
    recordWarmup: (service, targetId, isCold, reason) => {
      log('target_warmup', { service, target: targetId, state: isCold ? 'cold' : 'warm', reason })
      add({ event: 'target_warmup', service, targetId, text: `Target ${targetId} of ${service} ${isCold ? 'is taken for cold' : 'is warm'} (${reason}).` })
    },
    recordRequestLimit: (service, targetId, limitPerS) => {
      const key = `${service}/${targetId}`
      const nowMs = clock.nowMs()
      const loggedMs = limitLoggedMs.get(key)
      if (limitPerS === undefined) limitLoggedMs.delete(key)
      else if (loggedMs !== undefined && nowMs - loggedMs < LIMIT_LINE_INTERVAL_MS) return
      else limitLoggedMs.set(key, nowMs)
      log('target_limit', { service, target: targetId, ...(limitPerS !== undefined && { limit_per_s: limitPerS }), state: limitPerS === undefined ? 'ended' : 'stated' })
      add({ event: 'target_limit', service, targetId, text: limitPerS === undefined ? `Target ${targetId} of ${service} has no request limit any more.` : `Target ${targetId} of ${service} accepts ${limitPerS} requests per second from all nodes together.` })
    },
    recordTargetPause: (service, targetId, pauseMs) => {
      log('target_paused', { service, target: targetId, pause_ms: Math.round(pauseMs) })
      add({ event: 'target_paused', service, targetId, text: `Target ${targetId} of ${service} asked to be left alone for ${Math.round(pauseMs)} ms.` })
    },
    recordConnectionsRetired: (service, targetId, count) => {
      log('connections_retired', { service, target: targetId, count })
      add({ event: 'connections_retired', service, targetId, text: `${count} connections to ${targetId} of ${service} made no progress while a newer connection answered, and get no new requests.` })
    },
    recordProcessPause: gapMs => {
      log('process_paused', { gap_ms: Math.round(gapMs) })
      add({ event: 'process_paused', text: `This process did not run for ${Math.round(gapMs)} ms; requests that were routed before and not sent are routed again.` })
    },
    recordReachability: (kind, isLost, { failureCount, targetCount, durationMs }) => {
      const event = isLost ? 'targets_unreachable' : 'targets_reachable'
      log(event, { kind, ...(isLost && { failures: failureCount, targets: targetCount, series_ms: Math.round(durationMs) }) })
      add({ event, text: isLost ? `No target gives this node a ${kind}; requests are relayed to peers.` : `Targets give this node a ${kind} again.` })
    },
    recordSuspect: ({ identity, service, targetId, requestId, caller, crashCount }) => {
      log('request_suspect', { request_id: requestId, identity, caller, service, target: targetId, crashes: crashCount })
      add({ event: 'request_suspect', requestId, service, targetId, text: `Target ${targetId} of ${service} ended while it ran a request of ${caller} (identity ${identity}), the ${crashCount}. target that ended under it.` })
    },
    find: query => events.find(matcher(query, clock.nowMs()))
  }
}
