/**
 * Requests the load report of a target. The probe uses the connection that the
 * next request would use, so a response also confirms that the connection
 * works. Targets that do not answer in time are not waited for.
 */
import { sendRequest, type OutgoingRequest } from './adapters/backend-http.js'
import type { BackendConnection, ConnectionWaiter, TargetConnections } from './backend-connections.js'
import { rawHeader } from './headers.js'
import type { PipelineContext } from './pipeline-context.js'
import type { ServiceRuntime } from './service-runtimes.js'

/** Responses normally take a few ms; a later one is of no use for the selection. */
const PROBE_TIMEOUT_MS = 30
const BODY_BYTES_MAX = 16_384

/**
 * @param done called once: with true if the target answered or is no longer
 * listed, with false if the probe failed or timed out
 */
export const probeLoad = (context: PipelineContext, runtime: ServiceRuntime, targetId: string, done: (isAnswered: boolean) => void): void => {
  const target = runtime.table.target(targetId)
  if (!target) {
    done(true)
    return
  }
  const pool: TargetConnections = context.runtimes.connectionsTo(runtime, target)
  let connection: BackendConnection | undefined
  let outgoingRequest: OutgoingRequest | undefined
  let isFinished = false

  const finish = (isAnswered: boolean): void => {
    if (isFinished) return
    isFinished = true
    context.wheel.cancel(timer)
    done(isAnswered)
  }

  const fail = (isUnreachable = false): void => {
    if (isFinished) return
    if (connection) pool.discard(connection)
    const nowMs = context.clock.nowMs()
    runtime.table.recordLoadProbeFailure(targetId, nowMs, isUnreachable)
    context.relaying.responses.recordFailure(targetId, nowMs)
    finish(false)
  }

  const recordRoundTrip = (nowMs: number): void => {
    if (connection?.sentMs !== undefined) context.roundTrips.record(target.zone, nowMs - connection.sentMs)
  }

  const onHead = (status: number, headers: string[]): void => {
    const nowMs = context.clock.nowMs()
    context.relaying.responses.recordSuccess()
    const report = context.dialect.parseLoadReport(rawHeader(headers, context.dialect.loadReportHeader))
    const answeredBy = context.dialect.answeredByHeader === undefined ? undefined : rawHeader(headers, context.dialect.answeredByHeader)
    // Probes have no request id, so a response with one belongs to an earlier request.
    const isForeign = (rawHeader(headers, context.dialect.requestIdHeader.toLowerCase()) ?? '') !== ''
    if (answeredBy !== undefined && answeredBy !== targetId) runtime.table.recordDraining(targetId, 'other-server', nowMs)
    else if (context.dialect.isDraining(name => rawHeader(headers, name))) runtime.table.recordDraining(targetId, 'response', nowMs)
    else if (isForeign) {
      pool.recordForeignResponse()
      fail()
    } else if (status < 300) {
      runtime.table.recordWarmup(targetId, context.dialect.readWarmupMs(name => rawHeader(headers, name)), nowMs)
      if (report) {
        runtime.table.recordLoadReport(targetId, report, nowMs)
        recordRoundTrip(nowMs)
      } else runtime.table.recordLoadProbeWithoutReport(targetId, nowMs)
    } else runtime.table.recordLoadProbeFailure(targetId, nowMs)
    const pauseMs = context.dialect.readPauseMs(status, name => rawHeader(headers, name))
    if (pauseMs !== undefined) runtime.table.recordPause(targetId, pauseMs, nowMs)
  }

  const send = (opened: BackendConnection): void => {
    connection = opened
    opened.lastResponseOwner = undefined
    let receivedBytes = 0
    outgoingRequest = sendRequest(opened, { method: 'GET', path: runtime.configuration.healthPath, headers: [], body: null }, {
      canWrite: () => !isFinished,
      onWritten: () => { opened.sentMs = context.clock.nowMs() },
      onBodyProgress: () => undefined,
      onHead,
      onData: chunk => {
        receivedBytes += chunk.length
        return receivedBytes <= BODY_BYTES_MAX
      },
      onEnd: () => {
        connection = undefined
        pool.release(opened)
        // The connection is available to the request only after the deferred part of the release.
        queueMicrotask(() => finish(true))
      },
      onFailure: () => fail()
    })
  }

  const waiter: ConnectionWaiter = {
    idempotent: true,
    use: opened => {
      if (isFinished) pool.release(opened)
      else send(opened)
    },
    fail: () => fail(true)
  }

  const timer = context.wheel.schedule(context.clock.nowMs() + PROBE_TIMEOUT_MS, () => {
    if (isFinished) return
    pool.cancel(waiter)
    outgoingRequest?.abort()
    fail()
  })
  context.recorder.probed()
  pool.acquire(waiter)
}
