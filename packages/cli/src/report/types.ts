/**
 * Types of the service-level report. Rates and shares are undefined when there
 * is no data for them, and never set to 0 or 100% instead.
 */
import type { BurnBucket, EventEntry, Objective } from '@wisteriavalve/schema'
import type { MissingNode } from '@wisteriavalve/daemon/admin-api'

/** Data of one daemon process; a restart begins a new run. */
export type NodeRun = {
  nodeId: string
  zone: string
  sinceWallMs: number
  /** Intervals for which the counts are complete, sorted and without overlap. */
  intervals: Interval[]
  buckets: BurnBucket[]
  events: EventEntry[]
}

export type Interval = { fromMs: number, toMs: number }

export type Counts = { requests: number, inTime: number }

export type KindCounts = { counts: Counts, weight: number, objective?: Objective }

/** Part of a window for which there is data; see coverage.ts. */
export type Coverage = { coveredMs: number, isCovered: boolean }

export type BurnContext = {
  runs: readonly NodeRun[]
  /** Coverage of the window of this length that ends now. */
  coverageOf: (lengthMs: number) => Coverage
  nowMs: number
  /** False when nodes are missing or counts were left out. */
  isComplete: boolean
}

export type BurnWindow = {
  lengthMs: number
  counts: Counts
  /** Share of failures divided by the share that the objective allows; at 1 the budget is used up exactly within the objective window. */
  burnRate?: number
  /** False when the data does not cover the window. */
  isCovered: boolean
  /** Part of the window for which there is data. */
  coveredMs: number
}

/** firing: the burn rates of both windows exceed the threshold; unknown: data is missing. */
export type AlertState = 'firing' | 'calm' | 'unknown'

export type BurnAlert = {
  name: string
  short: BurnWindow
  long: BurnWindow
  /** Burn rate that both windows must exceed for the alert to fire. */
  threshold: number
  state: AlertState
}

export type ErrorBudget = {
  /** Share of the budget of the whole objective window that was used in the time with data. */
  usedPercent: number
  /** Upper bound of the remaining budget; its use before the data began is unknown. */
  leftPercentMax: number
  isCovered: boolean
  coveredMs: number
  windowMs: number
}

export type LevelReport = {
  counts: Counts
  /** Each request is weighted by its kind. */
  inTimePercent?: number
  alerts: BurnAlert[]
  budget?: ErrorBudget
}

export type KindReport = LevelReport & { kind: string, weight: number, objective?: Objective }

export type Consumer = { name: string, count: number, percent: number }

export type Consumers = {
  failureCount: number
  targets: Consumer[]
  causes: Consumer[]
  hours: Consumer[]
}

export type Action = { wallMs: number, text: string, nodeCount: number }

/** A period in which a service used its error budget faster than its objective allows. */
export type Incident = {
  service: string
  fromMs: number
  toMs: number
  counts: Counts
  causes: Consumer[]
  targets: Consumer[]
  actions: Action[]
  /** by-itself: ended without a new configuration; after-configuration: a new configuration came into force during it; no-traffic: no requests since, so its end is unknown. */
  recovery: 'by-itself' | 'after-configuration' | 'ongoing' | 'no-traffic'
}

export type MinutePoint = { minuteMs: number, counts: Counts, burnRate?: number }

export type ServiceReport = LevelReport & {
  service: string
  kinds: KindReport[]
  consumers: Consumers
  minutes: MinutePoint[]
}

export type ServiceLevelReport = {
  nowMs: number
  isComplete: boolean
  missing: MissingNode[]
  /** Data that was left out and other reasons why figures may be inaccurate. */
  problems: string[]
  data?: Interval
  nodeCount: number
  /** All services together. */
  fleet: LevelReport
  services: ServiceReport[]
  incidents: Incident[]
}
