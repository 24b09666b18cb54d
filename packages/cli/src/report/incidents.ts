/**
 * Times in which a service used its budget faster than it may, what the fleet
 * did meanwhile, and whether it recovered by itself.
 */
import type { EventEntry } from '@wisteriavalve/schema'
import { mergeEvents } from '../explain-text.js'
import { addCounts, burnRate, type KindBuckets } from './burn.js'
import { INCIDENT_FAILURES_MIN, INCIDENT_GAP_MS, MINUTE_MS } from './constants.js'
import { findConsumers } from './consumers.js'
import { joinIntervals } from './coverage.js'
import type { Action, BurnContext, Incident, Interval, KindCounts, MinutePoint, NodeRun } from './types.js'

const CONFIGURATION_EVENT = 'configuration_adopted'

/** Counts of all kinds together, minute by minute. */
export const sumMinutes = (kinds: readonly KindBuckets[]): MinutePoint[] => {
  const minutes = new Map<number, KindCounts[]>()
  for (const { weight, objective, buckets } of kinds) {
    for (const { minuteWallMs, requests, inTime } of buckets) {
      const counts = minutes.get(minuteWallMs) ?? []
      counts.push({ weight, objective, counts: { requests, inTime } })
      minutes.set(minuteWallMs, counts)
    }
  }
  return [...minutes].sort(([a], [b]) => a - b)
    .map(([minuteMs, counts]) => ({ minuteMs, counts: addCounts(counts.map(kind => kind.counts)), burnRate: burnRate(counts) }))
}

const isWithin = (atMs: number, { fromMs, toMs }: Interval): boolean => atMs >= fromMs && atMs < toMs

/** What a node does right after its start is no answer to a fault. */
const START_MS = 10_000

const actionsDuring = (runs: readonly NodeRun[], service: string, span: Interval): Action[] => {
  const isRelated = (event: EventEntry, sinceWallMs: number): boolean => event.automatic === true && event.wallMs > sinceWallMs + START_MS &&
    (event.service === undefined || event.service === service) &&
    isWithin(event.wallMs, { fromMs: span.fromMs - MINUTE_MS, toMs: span.toMs + MINUTE_MS })
  return mergeEvents(runs.map(({ nodeId, events, sinceWallMs }) => ({ nodeId, events: events.filter(event => isRelated(event, sinceWallMs)) })))
    .map(({ wallMs, text, nodeIds }) => ({ wallMs, text, nodeCount: nodeIds.length }))
}

const hasNewConfiguration = (runs: readonly NodeRun[], span: Interval): boolean => runs.some(({ events, sinceWallMs }) =>
  // A node that starts adopts a configuration that was in force before.
  events.some(({ event, wallMs }) => event === CONFIGURATION_EVENT && isWithin(wallMs, span) && wallMs > sinceWallMs + START_MS))

const judgeRecovery = (runs: readonly NodeRun[], span: Interval, points: readonly MinutePoint[], nowMs: number): Incident['recovery'] => {
  if (span.toMs + INCIDENT_GAP_MS > nowMs) return 'ongoing'
  if (!points.some(({ minuteMs, counts }) => minuteMs >= span.toMs && counts.requests > 0)) return 'no-traffic'
  return hasNewConfiguration(runs, span) ? 'after-configuration' : 'by-itself'
}

export const findIncidents = (service: string, kinds: readonly KindBuckets[], { runs, nowMs }: BurnContext): Incident[] => {
  const points = sumMinutes(kinds)
  const bad = points.filter(({ counts, burnRate = 0 }) => counts.requests - counts.inTime >= INCIDENT_FAILURES_MIN && burnRate > 1)
  const buckets = kinds.flatMap(kind => kind.buckets)
  return joinIntervals(bad.map(({ minuteMs }) => ({ fromMs: minuteMs, toMs: minuteMs + MINUTE_MS })), INCIDENT_GAP_MS).map(span => {
    const within = buckets.filter(({ minuteWallMs }) => isWithin(minuteWallMs, span))
    const { causes, targets } = findConsumers(within)
    return {
      service,
      ...span,
      counts: addCounts(within),
      causes,
      targets,
      actions: actionsDuring(runs, service, span),
      recovery: judgeRecovery(runs, span, points, nowMs)
    }
  })
}
