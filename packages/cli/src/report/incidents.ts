/**
 * Incidents: periods in which a service used its error budget too fast, with the
 * automatic actions of the fleet and how the incident ended.
 */
import type { EventEntry } from '@wisteriavalve/schema'
import { mergeEvents } from '../explain-text.js'
import { addCounts, burnRate, type KindBuckets } from './burn.js'
import { INCIDENT_FAILURES_MIN, INCIDENT_GAP_MS, MINUTE_MS } from './constants.js'
import { findConsumers } from './consumers.js'
import { mergeIntervals } from './coverage.js'
import type { Action, BurnContext, Incident, Interval, KindCounts, MinutePoint, NodeRun } from './types.js'

const CONFIGURATION_EVENT = 'configuration_adopted'

/** Sums the counts of all kinds for each minute. */
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

/** Events within this time after the start of a node are part of its startup and no reaction to a fault. */
const STARTUP_MS = 10_000

const findActions = (runs: readonly NodeRun[], service: string, period: Interval): Action[] => {
  const isRelated = (event: EventEntry, sinceWallMs: number): boolean => event.automatic === true && event.wallMs > sinceWallMs + STARTUP_MS &&
    (event.service === undefined || event.service === service) &&
    isWithin(event.wallMs, { fromMs: period.fromMs - MINUTE_MS, toMs: period.toMs + MINUTE_MS })
  return mergeEvents(runs.map(({ nodeId, events, sinceWallMs }) => ({ nodeId, events: events.filter(event => isRelated(event, sinceWallMs)) })))
    .map(({ wallMs, text, nodeIds }) => ({ wallMs, text, nodeCount: nodeIds.length }))
}

const hasNewConfiguration = (runs: readonly NodeRun[], period: Interval): boolean => runs.some(({ events, sinceWallMs }) =>
  // During its startup a node adopts a configuration that was already in force.
  events.some(({ event, wallMs }) => event === CONFIGURATION_EVENT && isWithin(wallMs, period) && wallMs > sinceWallMs + STARTUP_MS))

const classifyRecovery = (runs: readonly NodeRun[], period: Interval, points: readonly MinutePoint[], nowMs: number): Incident['recovery'] => {
  if (period.toMs + INCIDENT_GAP_MS > nowMs) return 'ongoing'
  if (!points.some(({ minuteMs, counts }) => minuteMs >= period.toMs && counts.requests > 0)) return 'no-traffic'
  return hasNewConfiguration(runs, period) ? 'after-configuration' : 'by-itself'
}

export const findIncidents = (service: string, kinds: readonly KindBuckets[], { runs, nowMs }: BurnContext): Incident[] => {
  const points = sumMinutes(kinds)
  const badMinutes = points.filter(({ counts, burnRate = 0 }) => counts.requests - counts.inTime >= INCIDENT_FAILURES_MIN && burnRate > 1)
  const buckets = kinds.flatMap(kind => kind.buckets)
  return mergeIntervals(badMinutes.map(({ minuteMs }) => ({ fromMs: minuteMs, toMs: minuteMs + MINUTE_MS })), INCIDENT_GAP_MS).map(period => {
    const bucketsWithin = buckets.filter(({ minuteWallMs }) => isWithin(minuteWallMs, period))
    const { causes, targets } = findConsumers(bucketsWithin)
    return {
      service,
      ...period,
      counts: addCounts(bucketsWithin),
      causes,
      targets,
      actions: findActions(runs, service, period),
      recovery: classifyRecovery(runs, period, points, nowMs)
    }
  })
}
