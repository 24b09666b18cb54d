/**
 * State of the request path per service: target table, admission, retry budget
 * and connections. Configurations and target lists update it in place, so
 * requests in flight are not affected.
 */
import { countBy, type Clock, type Random } from '@wisteriavalve/common'
import {
  connectionShare, createAdmission, createResponseSizes, createRetryBudget, createRouteIndex, createScarcity, createServiceIndex, createTargetTable, createZoneOverflow,
  type Admission, type ProbeResult, type ResponseSizes, type RetryBudget, type RetryLimits, type Scarcity, type ServiceIndex, type TargetHealth, type TargetTable, type WarmupOptions, type WarmupReason, type ZoneOverflow
} from '@wisteriavalve/policy'
import type { ServiceConfiguration, Target, TargetNote, TargetStatus } from '@wisteriavalve/schema'
import { createTargetConnections, type BackendConnection, type TargetConnections } from './backend-connections.js'
import { QUEUE_LENGTH_MAX } from './constants.js'
import type { ServiceGaugeValues } from './metrics-gauges.js'
import type { ActiveConfiguration, ServiceTargets } from './types.js'

export type ServiceRuntime = {
  configuration: ServiceConfiguration
  table: TargetTable
  admission: Admission
  retryBudget: RetryBudget
  /** Admission by priority of requests that are placed by fresh load reports; absent unless the option admitsByPriority is set. */
  scarcity: Scarcity | undefined
  connections: Map<string, TargetConnections>
  /** Callbacks of requests that found all usable targets at their limits; each retries the selection. */
  targetWaiters: Set<() => void>
  /** Number of attempts of suspects at each target; see suspect-isolation.ts. */
  suspectCounts: Map<string, number>
  /** Usual response size of each kind. */
  responseSizes: ResponseSizes
  /** Limit on the requests that leave the zone; used only with the setting crossZoneMsPerKb. */
  overflow: ZoneOverflow
  /** Attempts at targets or peers in other zones, and the bytes of their bodies and responses. */
  crossZone: { requests: number, bytes: number }
  share: number
  /** Targets that must not get new requests. Checked again directly before a request is written. */
  draining: Set<string>
}

export type ServiceRuntimesOptions = {
  clock: Clock
  random: Random
  retryLimits?: RetryLimits
  /**
   * Whether requests are placed by fresh load reports. Concurrency is then
   * limited by the reports instead of the capacity estimate.
   */
  probesBeforeAttempt?: boolean
  /** Whether the requests that leave the zone are limited. */
  limitsZoneOverflow?: boolean
  /** Whether requests are admitted by priority while a service has too little capacity. */
  admitsByPriority?: boolean
  /** Whether targets are known to echo request ids in their responses. */
  echoesRequestIds?: boolean
  onHealth: (service: string, targetId: string, health: TargetHealth, reason: string) => void
  onRequestLimit: (service: string, targetId: string, limitPerS: number | undefined) => void
  onTargetPause: (service: string, targetId: string, pauseMs: number) => void
  onWarmup: (service: string, targetId: string, isCold: boolean, reason: WarmupReason) => void
  onSilent: (service: string, targetId: string, retired: BackendConnection[]) => void
  /** Called when a new connection to a target has opened or failed to open. */
  onOpenResult: (targetId: string, isOpen: boolean) => void
}

export type ServiceRuntimes = {
  index: () => ServiceIndex | undefined
  get: (service: string) => ServiceRuntime | undefined
  all: () => Iterable<ServiceRuntime>
  applyConfiguration: (adopted: ActiveConfiguration) => void
  applyTargets: (service: string, targets: ServiceTargets) => void
  /** @param zones zones whose targets must get no requests */
  applyEvacuations: (zones: ReadonlySet<string>) => void
  applyNotes: (notes: readonly TargetNote[]) => void
  applyProbe: (service: string, targetId: string, result: ProbeResult) => void
  /** Connection pool of a target; created on first use. */
  connectionsTo: (runtime: ServiceRuntime, target: Target) => TargetConnections
  /**
   * Periodic maintenance: expires queued requests, retires silent connections,
   * closes connections of removed targets.
   */
  maintain: (nowMs: number) => void
  takeNotes: (nowMs: number) => TargetNote[]
  /** Running and waiting requests as a percentage of the capacity of the services in use. */
  loadPercent: (nowMs: number) => number
  /** To be called after a pause of the process: closes idle connections and expires estimates. */
  resumeAfterPause: (gapMs: number, nowMs: number) => void
  status: (nowMs: number) => TargetStatus[]
  /** Gauge values of each service for the metrics. */
  gaugeValues: (nowMs: number) => ServiceGaugeValues[]
  closeIdle: () => void
}

const statusOf = ({ table, connections, configuration }: ServiceRuntime, nowMs: number): TargetStatus[] => {
  const targets = table.snapshot(nowMs, new Map([...connections].map(([targetId, pool]) => [targetId, pool.count()])))
  return configuration.trustsReuse === true ? targets.map(target => ({ ...target, trustsReuse: true })) : targets
}

const gaugeValuesOf = (runtime: ServiceRuntime, limitsZoneOverflow: boolean, nowMs: number): ServiceGaugeValues => {
  const { configuration, admission, targetWaiters, retryBudget, scarcity, table, overflow, crossZone } = runtime
  const targets = statusOf(runtime, nowMs)
  return {
    service: configuration.name,
    runningCount: admission.runningCount() - targetWaiters.size,
    queuedCount: admission.queuedCount() + targetWaiters.size,
    retriesLeft: retryBudget.remaining('retry', nowMs),
    hedgesLeft: retryBudget.remaining('hedge', nowMs),
    capacity: table.capacity(nowMs),
    pressure: scarcity?.pressure(nowMs) ?? 0,
    refusalsByWeight: Object.fromEntries(scarcity?.refusals() ?? []),
    limitedTargets: targets.filter(({ requestLimitPerS }) => requestLimitPerS !== undefined).length,
    coldTargets: table.coldCount(nowMs),
    pausedTargets: targets.filter(({ pausedMs }) => pausedMs !== undefined).length,
    crossZoneRequests: crossZone.requests,
    crossZoneBytes: crossZone.bytes,
    ...(limitsZoneOverflow && { overflowShare: overflow.share() }),
    targetsByState: countBy(targets, ({ health }) => health)
  }
}

/** Time for which a health response shows that a target is warm. */
const WARMUP_TRUST_MS = 1_000

const warmupOptions = ({ warmupMs = 0, warmupRatePerS = 0 }: ServiceConfiguration, probesBeforeAttempt: boolean): WarmupOptions | undefined =>
  warmupMs > 0 ? { durationMs: warmupMs, ratePerS: warmupRatePerS, trustMs: probesBeforeAttempt ? WARMUP_TRUST_MS : Infinity } : undefined

/** Lets each request that waits for a target try again. A request that still finds none registers again. */
export const retryTargetWaiters = (runtime: ServiceRuntime): void => {
  if (runtime.targetWaiters.size === 0) return
  const waiters = [...runtime.targetWaiters]
  runtime.targetWaiters.clear()
  for (const retry of waiters) retry()
}

const retireSilent = (runtime: ServiceRuntime, onSilent: ServiceRuntimesOptions['onSilent']): void => {
  for (const [targetId, pool] of runtime.connections) {
    if (pool.busyCount() === 0) continue
    const retired = pool.retireSilent(runtime.table.firstByteP99Ms(targetId))
    if (retired.length > 0) onSilent(runtime.configuration.name, targetId, retired)
  }
}

/** Pools change rarely, and checking all of them is expensive on a node with many services. */
const POOL_CHECK_MS = 1_000

/** What the targets of a removed service stated still holds when the service is back in time. */
const REMOVED_RETENTION_MS = 60_000

/** The pool of a removed target is kept until its last request has ended. */
const dropUnusedPools = ({ connections, table }: ServiceRuntime): void => {
  for (const [targetId, pool] of connections) {
    if (table.target(targetId)) continue
    pool.closeIdle()
    if (pool.count() === 0) connections.delete(targetId)
  }
}

export const createServiceRuntimes = ({ clock, random, retryLimits, probesBeforeAttempt = false, limitsZoneOverflow = false, admitsByPriority = false, echoesRequestIds = false, onHealth, onRequestLimit, onTargetPause, onWarmup, onSilent, onOpenResult }: ServiceRuntimesOptions): ServiceRuntimes => {
  const runtimes = new Map<string, ServiceRuntime>()
  /** Services that the configuration leaves out, and since when. */
  const removedRuntimes = new Map<string, { runtime: ServiceRuntime, removedMs: number }>()
  const targetsByService = new Map<string, ServiceTargets>()
  let evacuatedZones: ReadonlySet<string> = new Set()
  let index: ServiceIndex | undefined
  /** Services with attempts or changes since target notes were last collected. */
  const changedRuntimes = new Set<ServiceRuntime>()
  let connectionId = 0
  let lastPoolCheckMs = -Infinity

  const createTable = (configuration: ServiceConfiguration, share: number, draining: Set<string>): TargetTable => createTargetTable({
    service: configuration.name,
    slotsPerTarget: configuration.slotsPerTarget,
    connectionShare: share,
    evacuatedZones,
    onHealth: (targetId, health, reason) => {
      if (health === 'draining') draining.add(targetId)
      else draining.delete(targetId)
      const runtime = runtimes.get(configuration.name)
      if (runtime) changedRuntimes.add(runtime)
      onHealth(configuration.name, targetId, health, reason)
    },
    onRequestLimit: (targetId, limitPerS) => onRequestLimit(configuration.name, targetId, limitPerS),
    warmup: warmupOptions(configuration, probesBeforeAttempt),
    onPause: (targetId, pauseMs) => onTargetPause(configuration.name, targetId, pauseMs),
    onWarmup: (targetId, isCold, reason) => onWarmup(configuration.name, targetId, isCold, reason)
  })

  const setTargets = (runtime: ServiceRuntime, { targets, leavingIds }: ServiceTargets): void => {
    const nowMs = clock.nowMs()
    runtime.table.setTargets(targets, nowMs)
    for (const targetId of leavingIds) runtime.table.recordDraining(targetId, 'vm-list', nowMs)
    retryTargetWaiters(runtime)
  }

  const createRuntime = (configuration: ServiceConfiguration, share: number): ServiceRuntime => {
    const draining = new Set<string>()
    const runtime: ServiceRuntime = {
      configuration,
      table: createTable(configuration, share, draining),
      admission: createAdmission({ queueLengthMax: QUEUE_LENGTH_MAX, capacity: nowMs => probesBeforeAttempt ? Infinity : runtime.table.capacity(nowMs) }),
      retryBudget: createRetryBudget(retryLimits),
      scarcity: admitsByPriority ? createScarcity() : undefined,
      connections: new Map(),
      targetWaiters: new Set(),
      suspectCounts: new Map(),
      responseSizes: createResponseSizes(),
      overflow: createZoneOverflow(),
      crossZone: { requests: 0, bytes: 0 },
      share,
      draining
    }
    return runtime
  }

  const removeService = (name: string, runtime: ServiceRuntime): void => {
    runtimes.delete(name)
    removedRuntimes.set(name, { runtime, removedMs: clock.nowMs() })
    for (const pool of runtime.connections.values()) pool.closeIdle()
  }

  const bringBackService = (name: string): void => {
    const removed = removedRuntimes.get(name)
    if (!removed) return
    removedRuntimes.delete(name)
    runtimes.set(name, removed.runtime)
  }

  const dropRemovedServices = (nowMs: number): void => {
    for (const [name, { removedMs }] of removedRuntimes) if (nowMs - removedMs >= REMOVED_RETENTION_MS) removedRuntimes.delete(name)
  }

  const applyService = (configuration: ServiceConfiguration, entryVmCountMax: number): void => {
    bringBackService(configuration.name)
    const share = connectionShare(configuration.connectionsPerTarget, entryVmCountMax)
    const targets = targetsByService.get(configuration.name) ?? { targets: configuration.targets, leavingIds: [] }
    const existing = runtimes.get(configuration.name)
    if (!existing) {
      const runtime = createRuntime(configuration, share)
      runtimes.set(configuration.name, runtime)
      setTargets(runtime, targets)
      return
    }
    const { slotsPerTarget, warmupMs, warmupRatePerS } = existing.configuration
    const isResized = existing.share !== share || slotsPerTarget !== configuration.slotsPerTarget ||
      warmupMs !== configuration.warmupMs || warmupRatePerS !== configuration.warmupRatePerS
    existing.configuration = configuration
    existing.share = share
    if (isResized) existing.table.resize({ slotsPerTarget: configuration.slotsPerTarget, connectionShare: share, warmup: warmupOptions(configuration, probesBeforeAttempt) })
    setTargets(existing, targets)
  }

  /** Targets of a zone that is used again are expected to be cold, before they can be chosen. */
  const setEvacuatedZones = ({ table }: ServiceRuntime, endedZones: readonly string[]): void => {
    const nowMs = clock.nowMs()
    for (const zone of endedZones) table.expectWarmup(zone, nowMs)
    table.setEvacuatedZones(evacuatedZones)
  }

  const connectionsTo = (runtime: ServiceRuntime, target: Target): TargetConnections => {
    changedRuntimes.add(runtime)
    const existing = runtime.connections.get(target.id)
    if (existing?.target.host === target.host && existing.target.port === target.port) return existing
    existing?.closeIdle()
    const pool = createTargetConnections({
      target,
      share: () => runtime.share,
      isReuseTrusted: () => runtime.configuration.trustsReuse === true,
      echoesRequestIds,
      clock,
      nextId: () => ++connectionId,
      onOpenResult: isOpen => onOpenResult(target.id, isOpen)
    })
    runtime.connections.set(target.id, pool)
    return pool
  }

  return {
    index: () => index,
    get: service => runtimes.get(service),
    all: () => runtimes.values(),
    applyConfiguration: ({ services, settings, routes }) => {
      for (const [name, runtime] of runtimes) if (!services.has(name)) removeService(name, runtime)
      for (const configuration of services.values()) applyService(configuration, settings.entryVmCountMax)
      index = routes ? createRouteIndex(routes, services, random) : createServiceIndex(services.values())
    },
    applyTargets: (service, targets) => {
      targetsByService.set(service, targets)
      const runtime = runtimes.get(service)
      if (runtime) setTargets(runtime, targets)
    },
    applyEvacuations: zones => {
      const endedZones = [...evacuatedZones].filter(zone => !zones.has(zone))
      evacuatedZones = zones
      for (const { runtime } of removedRuntimes.values()) setEvacuatedZones(runtime, endedZones)
      for (const runtime of runtimes.values()) {
        setEvacuatedZones(runtime, endedZones)
        retryTargetWaiters(runtime)
      }
    },
    applyNotes: notes => {
      const nowMs = clock.nowMs()
      for (const note of notes) runtimes.get(note.service)?.table.recordPeerObservation(note, nowMs)
    },
    applyProbe: (service, targetId, result) => {
      const runtime = runtimes.get(service)
      if (!runtime) return
      changedRuntimes.add(runtime)
      runtime.table.recordHealthProbe(targetId, result, clock.nowMs())
    },
    connectionsTo,
    maintain: nowMs => {
      for (const runtime of runtimes.values()) {
        if (runtime.admission.runningCount() === 0 && runtime.admission.queuedCount() === 0) continue
        if (runtime.admission.queuedCount() > 0) runtime.admission.expire(nowMs)
        retireSilent(runtime, onSilent)
        retryTargetWaiters(runtime)
      }
      if (nowMs - lastPoolCheckMs < POOL_CHECK_MS) return
      lastPoolCheckMs = nowMs
      for (const runtime of runtimes.values()) dropUnusedPools(runtime)
      dropRemovedServices(nowMs)
    },
    takeNotes: nowMs => {
      const notes = [...changedRuntimes].flatMap(({ table }) => table.takeNotes(nowMs))
      changedRuntimes.clear()
      return notes
    },
    loadPercent: nowMs => {
      let load = 0
      let capacity = 0
      for (const { admission, table } of runtimes.values()) {
        const count = admission.runningCount() + admission.queuedCount()
        load += count
        if (count > 0) capacity += table.capacity(nowMs)
      }
      return capacity === 0 ? 0 : Math.round(100 * load / capacity)
    },
    resumeAfterPause: (gapMs, nowMs) => {
      for (const { table, connections, admission } of runtimes.values()) {
        table.resumeAfterPause(gapMs, nowMs)
        for (const pool of connections.values()) pool.closeIdle()
        admission.expire(nowMs)
      }
    },
    status: nowMs => [...runtimes.values()].flatMap(runtime => statusOf(runtime, nowMs)),
    gaugeValues: nowMs => [...runtimes.values()].map(runtime => gaugeValuesOf(runtime, limitsZoneOverflow, nowMs)),
    closeIdle: () => {
      for (const { connections } of runtimes.values()) for (const pool of connections.values()) pool.closeIdle()
    }
  }
}
