/**
 * Wiring of one node: the request path, the fleet runtime, the admin address
 * and the lifecycle of the process.
 */
import { countBy, createRandom } from '@wisteriavalve/common'
import { UNREACHABLE_LOAD_PERCENT } from '@wisteriavalve/fleet'
import { createCallerLimits, createFleetSize, createProbeAllowance, createReachability, createServiceTimes, createZoneRoundTrips, shareRetryLimits, type CallerLimitsOptions, type PolicyName } from '@wisteriavalve/policy'
import type { NodeReport, NodeStatus } from '@wisteriavalve/schema'
import { createCallerServer } from './adapters/caller-http.js'
import { onLibraryException } from './adapters/library-guard.js'
import type { ExplainQuery } from './admin-api.js'
import { createAdminServer } from './admin-server.js'
import { createBurnBuckets } from './burn-buckets.js'
import { CALLER_LIMITS, IDLE_MAINTENANCE_INTERVAL_MS, LATE_MS_MIN, MAINTENANCE_INTERVAL_MS, PAUSE_MS_MIN, READ_AHEAD_BYTES_MAX, READ_AHEAD_TOTAL_BYTES_MAX, REPLAY_BYTES_MAX, WHEEL_TICK_MS } from './constants.js'
import { createCrashWatch, isCrashNote } from './crash-watch.js'
import { createDeadlineWheel } from './deadline-wheel.js'
import { sendEndMs, shutDownGracefully } from './graceful-shutdown.js'
import { createHeaderRules } from './headers.js'
import { createLifecycle, type Phase } from './lifecycle.js'
import { boundPort, listen, toStartupError } from './listening.js'
import { createMetrics } from './metrics.js'
import { createNodeEvents } from './node-events.js'
import { createPauseDetector } from './pause-detector.js'
import { createPeerTargets } from './peer-targets.js'
import type { PipelineContext } from './pipeline-context.js'
import { createReadAhead } from './read-ahead.js'
import { previewRequest } from './request-preview.js'
import { createReachabilityLog, type Relaying } from './relaying.js'
import { createRequestIds } from './request-ids.js'
import { createRequestPipeline } from './request-pipeline.js'
import { createRequestRecorder } from './request-recorder.js'
import { createServiceRuntimes } from './service-runtimes.js'
import { createTargetCheck } from './target-check.js'
import type { ActiveConfiguration, DaemonContext, FleetRuntime, PeerSource } from './types.js'
import { serveWellKnown } from './well-known.js'
import { DEFAULT_DIALECT, type HttpDialect } from './http-dialect.js'

const ENTRY_LIFETIME_DEFAULT_MS = 10_000
/** Interval at which the load is published to peers. Entry answers use it as a weight. */
const LOAD_INTERVAL_MS = 500
const REPORT_WINDOW_MS = 3_600_000

export type Daemon = {
  /** @throws StartupError if an address cannot be bound */
  start: () => Promise<void>
  /** Stops gracefully; resolves when all requests in flight have ended. */
  leave: () => Promise<void>
  phase: () => Phase
  /** Whether callers should send requests here. */
  isReady: () => boolean
  callerPort: () => number
  adminPort: () => number
}

export type DaemonOptions = {
  callerLimits?: CallerLimitsOptions
  dialect?: HttpDialect
  /** Bodies up to this size are collected before they are sent. */
  collectBytesMax?: number
  /** Whether targets are probed for their load before each attempt. */
  probesBeforeAttempt?: boolean
  /** Maximum load probes per second that all nodes together send to one target. */
  probesPerTargetPerS?: number
  /**
   * Limit of retries and hedges of the whole fleet per service: a share of its
   * requests plus a fixed number.
   */
  fleetRetries?: { share: number, extra: number }
  /**
   * Milliseconds of a caller's time that a kilobyte between zones is worth. Limits
   * the requests that leave the zone; takes effect only with probesBeforeAttempt.
   */
  crossZoneMsPerKb?: number
  /**
   * Whether requests are admitted by priority while a service has too little
   * capacity; takes effect only with probesBeforeAttempt.
   */
  admitsByPriority?: boolean
}

export const createDaemon = (
  { settings, clock, random, log, events }: DaemonContext, fleet: FleetRuntime, { callerLimits = CALLER_LIMITS, dialect = DEFAULT_DIALECT, collectBytesMax = REPLAY_BYTES_MAX, probesBeforeAttempt = false, probesPerTargetPerS = 0, fleetRetries, crossZoneMsPerKb, admitsByPriority = false }: DaemonOptions = {}
): Daemon => {
  const startedMs = clock.nowMs()
  const startedWallMs = Date.now()
  const fleetSize = createFleetSize(() => fleet.members().length)
  const lifecycle = createLifecycle(() => undefined)
  const burnBuckets = createBurnBuckets()
  const nodeEvents = createNodeEvents({ clock, events, log })
  const metrics = createMetrics({
    counters: fleet.counters,
    gauges: () => ({
      caller_connections: callerServer.connectionCount(),
      in_flight: pipeline.inFlightCount(),
      load_percent: runtimes.loadPercent(clock.nowMs()),
      suspect_requests: crashWatch.suspectCount(),
      targets_unreachable: Number(relaying.responses.isLost(clock.nowMs())),
      new_connections_unreachable: Number(relaying.connections.isLost(clock.nowMs())),
      ...fleet.gauges()
    }),
    services: () => runtimes.gaugeValues(clock.nowMs()),
    membersByState: () => countBy(fleet.members(), ({ state }) => state)
  })

  const runtimes = createServiceRuntimes({
    clock,
    random: createRandom(random.int(0x7fffffff)),
    probesBeforeAttempt,
    limitsZoneOverflow: crossZoneMsPerKb !== undefined,
    admitsByPriority,
    echoesRequestIds: dialect.echoesRequestId,
    ...(fleetRetries && { retryLimits: shareRetryLimits(fleetRetries.share, fleetRetries.extra, fleetSize) }),
    onHealth: nodeEvents.recordTargetHealth,
    onRequestLimit: nodeEvents.recordRequestLimit,
    onTargetPause: nodeEvents.recordTargetPause,
    onWarmup: nodeEvents.recordWarmup,
    onOpenResult: (targetId, isOpen) => {
      const nowMs = clock.nowMs()
      if (isOpen) {
        relaying.connections.recordSuccess()
        relaying.responses.recordContact(nowMs)
      } else relaying.connections.recordFailure(targetId, nowMs)
    },
    onSilent: (service, targetId, retired) => {
      for (let count = 0; count < retired.length; count++) metrics.increment('retired_connections')
      nodeEvents.recordConnectionsRetired(service, targetId, retired.length)
      for (const connection of retired) connection.onSilent?.()
    }
  })

  const configurationRevision = (): number => fleet.configuration()?.order.revision ?? 0
  const targetCount = (): number => [...runtimes.all()].reduce((sum, { table }) => sum + table.routing(clock.nowMs()).candidates.length, 0)
  const relaying: Relaying = {
    nodeId: settings.nodeId,
    configurationRevision,
    peers: createPeerTargets({ clock, random: createRandom(random.int(0x7fffffff)), nodeId: settings.nodeId, zone: settings.zone, members: () => fleet.members() }),
    responses: createReachability(targetCount),
    connections: createReachability(targetCount)
  }
  const crashWatch = createCrashWatch({
    clock,
    checkTarget: createTargetCheck(clock),
    isCutOff: () => relaying.responses.isLost(clock.nowMs()) || relaying.connections.isLost(clock.nowMs()),
    onSuspect: nodeEvents.recordSuspect,
    share: notes => fleet.shareNotes(notes)
  })
  const reachabilityLog = createReachabilityLog(relaying, nodeEvents.recordReachability)

  const onPause = (gapMs: number, nowMs: number): void => {
    metrics.increment('pauses')
    nodeEvents.recordProcessPause(gapMs)
    runtimes.resumeAfterPause(gapMs, nowMs)
    fleet.resumeAfterPause(gapMs)
  }

  const announcedLoadPercent = (nowMs: number): number =>
    relaying.responses.isLost(nowMs) ? UNREACHABLE_LOAD_PERCENT : Math.min(runtimes.loadPercent(nowMs), UNREACHABLE_LOAD_PERCENT - 1)

  let loadPublishedMs = -Infinity
  const onTick = (nowMs: number, lateMs: number): void => {
    metrics.recordLoopDelay(lateMs)
    runtimes.maintain(nowMs)
    reachabilityLog.update(nowMs)
    const notes = runtimes.takeNotes(nowMs)
    if (notes.length > 0) fleet.shareNotes(notes)
    if (nowMs - loadPublishedMs < LOAD_INTERVAL_MS) return
    loadPublishedMs = nowMs
    fleet.setLoadPercent(announcedLoadPercent(nowMs))
  }

  const pauseDetector = createPauseDetector({
    clock,
    intervalMs: MAINTENANCE_INTERVAL_MS,
    idleIntervalMs: IDLE_MAINTENANCE_INTERVAL_MS,
    isIdle: () => pipeline.inFlightCount() === 0,
    thresholdMs: PAUSE_MS_MIN,
    onPause,
    onTick
  })
  const recorder = createRequestRecorder({
    clock, events, log, metrics, burnBuckets, configurationRevision
  })
  let lastSendMs = Infinity
  const isLeaving = (): boolean => lifecycle.phase() === 'leaving'
  const context: PipelineContext = {
    clock,
    random: createRandom(random.int(0x7fffffff)),
    zone: settings.zone,
    policy: settings.policy as PolicyName,
    dialect,
    headers: createHeaderRules(dialect),
    collectBytesMax,
    readAhead: createReadAhead({ bodyBytesMax: READ_AHEAD_BYTES_MAX, totalBytesMax: READ_AHEAD_TOTAL_BYTES_MAX }),
    probesBeforeAttempt,
    serviceTimes: createServiceTimes(),
    probeAllowance: createProbeAllowance(probesPerTargetPerS, fleetSize),
    crossZoneMsPerKb,
    roundTrips: createZoneRoundTrips(),
    wheel: createDeadlineWheel(clock, WHEEL_TICK_MS),
    pauseDetector,
    runtimes,
    recorder,
    requestPermit: fleet.requestPermit,
    relaying,
    crashWatch,
    nextRequestId: createRequestIds(),
    isLeaving,
    isLate: () => pauseDetector.delayMs() >= LATE_MS_MIN,
    isTooLateToSend: () => clock.nowMs() >= lastSendMs
  }
  const pipeline = createRequestPipeline(context, createCallerLimits(callerLimits))
  const wellKnown = {
    isServing: () => lifecycle.phase() === 'serving' || isLeaving(),
    entryAnswer: fleet.entryAnswer
  }
  const callerServer = createCallerServer({
    clock,
    dialect,
    onCall: call => {
      if (!dialect.servesWellKnown || !serveWellKnown(call, wellKnown)) pipeline.handle(call)
    },
    onUnexpectedError: error => recorder.internalError(error, undefined),
    acceptConnection: address => pipeline.callerLimits.tryOpenConnection(address),
    onConnectionClosed: address => pipeline.callerLimits.recordConnectionClosed(address),
    onMalformed: (result, address, reason) => recorder.malformed(result, address, reason)
  })

  const onConfiguration = (adopted: ActiveConfiguration): void => {
    if (adopted.callerBounds) callerServer.setBounds(adopted.callerBounds)
    runtimes.applyConfiguration(adopted)
    lifecycle.send('configured')
    pipeline.onConfigured()
  }

  const status = (): NodeStatus => {
    const { order, state, reason = '' } = fleet.configurationStatus()
    const nowMs = clock.nowMs()
    return {
      nodeId: settings.nodeId,
      fleet: settings.fleet,
      zone: settings.zone,
      phase: lifecycle.phase(),
      uptimeMs: Math.round(nowMs - startedMs),
      policy: settings.policy,
      ...(order ? { configuration: order } : {}),
      configurationState: state,
      configurationReason: reason,
      ...(relaying.responses.isLost(nowMs) ? { reachesNoTarget: true } : {}),
      members: fleet.members(),
      targets: runtimes.status(nowMs),
      counters: metrics.counters()
    }
  }

  const report = (): NodeReport => ({
    nodeId: settings.nodeId,
    zone: settings.zone,
    sinceWallMs: startedWallMs,
    buckets: burnBuckets.list(Date.now()),
    events: nodeEvents.find({ automaticOnly: true, withinMs: REPORT_WINDOW_MS })
  })

  const previewContext = { ...context, nodeId: settings.nodeId, random: createRandom(settings.seed) }
  const peerSource: PeerSource = { status, explain: (query: ExplainQuery) => nodeEvents.find(query), report, crashNotes: crashWatch.notes }
  const admin = createAdminServer({
    status,
    explain: peerSource.explain,
    fleetStatus: fleet.queryFleetStatus,
    fleetExplain: fleet.queryFleetExplain,
    fleetReport: fleet.queryFleetReport,
    preview: query => previewRequest(previewContext, query)
  }, metrics.text)

  const start = async (): Promise<void> => {
    fleet.onTargets(runtimes.applyTargets)
    fleet.onEvacuations(runtimes.applyEvacuations)
    fleet.onNotes(notes => {
      crashWatch.applyNotes(notes)
      runtimes.applyNotes(notes.filter(note => !isCrashNote(note)))
    })
    fleet.onProbe(runtimes.applyProbe)
    fleet.setLastResponseSource((service, targetId) => runtimes.get(service)?.table.lastResponseMs(targetId))
    fleet.onConfiguration(onConfiguration)
    await listen(callerServer.server, settings.callerListen, '--caller-listen')
    await listen(admin, settings.adminListen, '--admin-listen')
    await fleet.start(peerSource).catch((error: unknown) => { throw toStartupError(error) })
    log('daemon_started', {
      zone: settings.zone,
      caller_address: `${settings.callerListen.host}:${boundPort(callerServer.server)}`,
      admin_address: `${settings.adminListen.host}:${boundPort(admin)}`
    })
  }

  const stopReportingExceptions = onLibraryException(({ side, address, error }) => {
    metrics.increment('library_exceptions')
    log('library_exception', { side, address, message: error instanceof Error ? error.stack ?? error.message : String(error) })
  })

  const leave = async (): Promise<void> => {
    lifecycle.send('stop-requested')
    lastSendMs = sendEndMs(clock.nowMs(), settings.stopTimeoutMs)
    // Requests that still wait could only be cut off at the end.
    if (settings.stopTimeoutMs > 0) clock.after(lastSendMs - clock.nowMs(), pipeline.refuseUnsent)
    fleet.leave()
    log('daemon_leaving', { in_flight: pipeline.inFlightCount() })
    await shutDownGracefully({
      clock,
      callerServer,
      inFlightCount: pipeline.inFlightCount,
      entryLifetimeMs: fleet.configuration()?.settings.entryLifetimeMs ?? ENTRY_LIFETIME_DEFAULT_MS,
      stopTimeoutMs: settings.stopTimeoutMs
    })
    pauseDetector.stop()
    runtimes.closeIdle()
    relaying.peers.closeIdle()
    await fleet.stop()
    admin.close()
    admin.closeAllConnections()
    stopReportingExceptions()
    lifecycle.send('finished')
    log('daemon_stopped', { uptime_ms: Math.round(clock.nowMs() - startedMs) })
  }

  return { start, leave, phase: lifecycle.phase, isReady: () => lifecycle.phase() === 'serving', callerPort: () => boundPort(callerServer.server), adminPort: () => boundPort(admin) }
}
