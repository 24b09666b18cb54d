/**
 * Types of the service-level report. Rates and shares are undefined when the
 * data does not carry them; they are never 0 or 100% for want of data.
 */
import type { BurnBucket, EventEntry, Objective } from '@wisteriavalve/schema'
import type { MissingNode } from '@wisteriavalve/daemon/admin-api'

/** One run of a daemon, from its start on; a restart begins a new one. */
export type NodeRun = {
  nodeId: string
  zone: string
  sinceWallMs: number
  /** Times for which the counts are complete, in order and without overlap. */
  intervals: Interval[]
  buckets: BurnBucket[]
  events: EventEntry[]
}

export type Interval = { fromMs: number, toMs: number }

export type Counts = { requests: number, inTime: number }

export type KindCounts = { counts: Counts, weight: number, objective?: Objective }

/** For which part of a window there is data; see coverage.ts. */
export type Coverage = { coveredMs: number, isCovered: boolean }

export type BurnContext = {
  runs: readonly NodeRun[]
  /** Coverage of the last so many ms. */
  cover: (lengthMs: number) => Coverage
  nowMs: number
  /** False when nodes or counts are missing. */
  isComplete: boolean
}

export type BurnWindow = {
  lengthMs: number
  counts: Counts
  /** Bad share divided by the share that the objective allows; 1 uses up the budget exactly in its window. */
  burnRate?: number
  /** False when the window begins before the data of the fleet. */
  isCovered: boolean
  /** Part of the window for which there is data. */
  coveredMs: number
}

/** firing: both windows burn too fast; unknown: data is missing. */
export type AlertState = 'firing' | 'calm' | 'unknown'

export type BurnAlert = {
  name: string
  short: BurnWindow
  long: BurnWindow
  /** Burn rate above which both windows must be. */
  threshold: number
  state: AlertState
}

export type ErrorBudget = {
  /** Part of the budget of the whole objective window that went in the time with data. */
  usedPercent: number
  /** What is left at most; use before the data began is not known. */
  leftPercentMax: number
  isCovered: boolean
  coveredMs: number
  windowMs: number
}

export type LevelReport = {
  counts: Counts
  /** With each request counted by the weight of its kind. */
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

/** A time in which a service used its budget faster than it may. */
export type Incident = {
  service: string
  fromMs: number
  toMs: number
  counts: Counts
  causes: Consumer[]
  targets: Consumer[]
  actions: Action[]
  /** by-itself: over without a new configuration; after-configuration: one came in between; no-traffic: nothing shows whether it is over. */
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
  /** Data that was left out, and other reasons to doubt figures. */
  problems: string[]
  data?: Interval
  nodeCount: number
  /** All services together. */
  fleet: LevelReport
  services: ServiceReport[]
  incidents: Incident[]
}
