/**
 * Configuration state that this node reports, with the reason for it. Each
 * change of the state is logged once and recorded as an event.
 */
import type { AdoptedConfiguration, ConfigurationFault } from '@wisteriavalve/fleet'
import { resultCode, type ConfigurationOrder, type LogEventName, type NodeStatus } from '@wisteriavalve/schema'
import type { DaemonContext } from '../types.js'

export type ConfigurationReport = { order?: ConfigurationOrder, state: NodeStatus['configurationState'], reason?: string }

export type ConfigurationStatus = {
  recordAdopted: (configuration: AdoptedConfiguration) => void
  recordRejected: (fault: ConfigurationFault) => void
  recordServiceBehind: (reason: string | undefined) => void
  recordServiceRead: (failure: string | undefined) => void
  report: (order: ConfigurationOrder | undefined) => ConfigurationReport
}

/** Consecutive failures after which the service counts as unreachable; a single failure can be a lost packet. */
const UNREACHABLE_FAILURE_COUNT = 2
/** Without this interval, reads that alternate between a current and a stale replica would log a line each time. */
const BEHIND_LOG_INTERVAL_MS = 60_000

export const createConfigurationStatus = (context: DaemonContext): ConfigurationStatus => {
  let rejectionReason: string | undefined
  let behindReason: string | undefined
  let nextServiceBehindLogMs = -Infinity
  let failureReason: string | undefined
  let failureCount = 0

  const writeEvent = (event: LogEventName, fields: Record<string, string | number>, text: string): void => {
    context.log(event, fields)
    context.events.add({ atMs: context.clock.nowMs(), wallMs: Date.now(), event, text, automatic: true })
  }

  const recordAdopted = ({ order }: AdoptedConfiguration): void => {
    rejectionReason = undefined
    writeEvent('configuration_adopted', { restore_count: order.restoreCount, revision: order.revision, head_hash: order.headHash.slice(0, 12) },
      `Configuration ${order.restoreCount}/${order.revision} is in force.`)
  }

  const recordRejected = ({ code, message }: ConfigurationFault): void => {
    const reason = `${code}: ${message}`
    if (reason === rejectionReason) return
    rejectionReason = reason
    writeEvent('configuration_rejected', { result_code: resultCode(code).code, message }, `A configuration was not adopted: ${message}.`)
  }

  const recordServiceBehind = (reason: string | undefined): void => {
    if (reason !== undefined && behindReason === undefined && context.clock.nowMs() >= nextServiceBehindLogMs) {
      nextServiceBehindLogMs = context.clock.nowMs() + BEHIND_LOG_INTERVAL_MS
      writeEvent('configuration_service_behind', { result_code: resultCode('configuration-service-behind').code, message: reason }, `The configuration service is behind: ${reason}.`)
    }
    behindReason = reason
  }

  const recordServiceRead = (error: string | undefined): void => {
    const wasUnreachable = failureCount >= UNREACHABLE_FAILURE_COUNT
    failureReason = error
    failureCount = error === undefined ? 0 : failureCount + 1
    if (!wasUnreachable && failureCount >= UNREACHABLE_FAILURE_COUNT) {
      writeEvent('configuration_service_unreachable', { message: error ?? '' }, 'The configuration service does not answer; the configuration in force stays.')
    }
    if (wasUnreachable && error === undefined) writeEvent('configuration_service_reachable', {}, 'The configuration service answers again.')
  }

  const report = (order: ConfigurationOrder | undefined): ConfigurationReport => {
    if (rejectionReason !== undefined) return { order, state: order ? 'rejected' : 'none', reason: rejectionReason }
    if (behindReason !== undefined) return { order, state: 'service-behind', reason: behindReason }
    if (failureCount >= UNREACHABLE_FAILURE_COUNT) return { order, state: order ? 'service-unreachable' : 'none', reason: failureReason }
    return order ? { order, state: 'current' } : { state: 'none', reason: 'no source has a configuration yet' }
  }

  return { recordAdopted, recordRejected, recordServiceBehind, recordServiceRead, report }
}
