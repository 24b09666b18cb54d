/**
 * Builds the report from the data of all nodes.
 */
import type { BurnBucket, NodeReport } from '@wisteriavalve/schema'
import type { FleetData } from '../admin/gather.js'
import { aggregateBuckets } from './aggregate.js'
import { measureLevel, toKindBuckets, type KindBuckets } from './burn.js'
import { cleanReport } from './clean.js'
import { findConsumers } from './consumers.js'
import { createCoverageLookup, mergeIntervals } from './coverage.js'
import { findIncidents, sumMinutes } from './incidents.js'
import type { BurnContext, KindReport, NodeRun, ServiceLevelReport, ServiceReport } from './types.js'

const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string): [string, T[]][] => {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group) group.push(item)
    else groups.set(keyOf(item), [item])
  }
  return [...groups].sort(([a], [b]) => a < b ? -1 : 1)
}

const buildKindReport = (kind: KindBuckets, context: BurnContext): KindReport =>
  ({ kind: kind.kind, weight: kind.weight, objective: kind.objective, ...measureLevel([kind], context) })

const buildServiceReport = (service: string, kinds: readonly KindBuckets[], context: BurnContext): ServiceReport => ({
  service,
  ...measureLevel(kinds, context),
  kinds: kinds.map(kind => buildKindReport(kind, context)),
  consumers: findConsumers(kinds.flatMap(({ buckets }) => buckets)),
  minutes: sumMinutes(kinds)
})

const groupByKind = (buckets: readonly BurnBucket[]): KindBuckets[] =>
  groupBy(buckets, ({ kind }) => kind).map(([kind, group]) => toKindBuckets(kind, group))

export const buildReport = (runs: readonly NodeRun[], data: FleetData<NodeReport>, problems: readonly string[], nowMs: number): ServiceLevelReport => {
  const context: BurnContext = { runs, nowMs, coverageOf: createCoverageLookup(runs, nowMs), isComplete: data.missing.length === 0 && problems.length === 0 }
  const byService = groupBy(aggregateBuckets(runs), ({ service }) => service)
    .map(([service, group]) => ({ service, kinds: groupByKind(group) }))
  const dataIntervals = mergeIntervals(runs.flatMap(({ intervals }) => intervals))
  const first = dataIntervals[0]
  return {
    nowMs,
    isComplete: context.isComplete,
    missing: data.missing,
    problems: [...problems],
    data: first && { fromMs: first.fromMs, toMs: dataIntervals.at(-1)?.toMs ?? first.toMs },
    nodeCount: data.nodes.length,
    fleet: measureLevel(byService.flatMap(({ kinds }) => kinds), context),
    services: byService.map(({ service, kinds }) => buildServiceReport(service, kinds, context)),
    incidents: byService.flatMap(({ service, kinds }) => findIncidents(service, kinds, context)).sort((a, b) => a.fromMs - b.fromMs)
  }
}

/** Services shown in detail; with thousands of services, only those with the highest burn rates are of interest. */
const DETAILED_SERVICES_MAX = 20

const burnRateOverHour = ({ alerts }: ServiceReport): number => alerts[0]?.long.burnRate ?? 0

/** Returns the services to show and the number of those left out. */
export const selectServices = ({ services }: ServiceLevelReport) => {
  const shown = services.length <= DETAILED_SERVICES_MAX ? services : [...services].sort((a, b) => burnRateOverHour(b) - burnRateOverHour(a)).slice(0, DETAILED_SERVICES_MAX)
  return { shown, leftOutCount: services.length - shown.length }
}

/** Cleans the reports of all nodes and collects the problems found. */
export const collectRuns = (reports: readonly NodeReport[], nowMs: number) => {
  const problems: string[] = []
  const runs = reports.flatMap(report => cleanReport(report, nowMs, problems) ?? [])
  return { runs, problems }
}
