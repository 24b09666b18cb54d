/**
 * What this node reports about its configuration: the state, the reason, and
 * one log line for each change of it.
 */
import type { AdoptedConfiguration, ConfigurationFault } from '@wisteriavalve/fleet'
import { resultCode, type ConfigurationOrder, type LogEventName, type NodeStatus } from '@wisteriavalve/schema'
import type { DaemonContext } from '../types.js'

export type ConfigurationReport = { order?: ConfigurationOrder, state: NodeStatus['configurationState'], reason?: string }

export type ConfigurationStatus = {
  noteAdopted: (configuration: AdoptedConfiguration) => void
  noteRejected: (fault: ConfigurationFault) => void
  noteBehind: (reason: string | undefined) => void
  noteService: (failure: string | undefined) => void
  report: (order: ConfigurationOrder | undefined) => ConfigurationReport
}

/** Failures in a row before the service counts as unreachable; one can be a lost packet. */
const FAILURES_MIN = 2
/** Reads that reach a current and a stale replica in turn would write a line each time. */
const BEHIND_LOG_INTERVAL_MS = 60_000

export const createConfigurationStatus = (context: DaemonContext): ConfigurationStatus => {
  let rejection: string | undefined
  let behind: string | undefined
  let nextBehindLogMs = -Infinity
  let failure: string | undefined
  let failureCount = 0

  const write = (event: LogEventName, fields: Record<string, string | number>, text: string): void => {
    context.log(event, fields)
    context.events.add({ atMs: context.clock.nowMs(), wallMs: Date.now(), event, text, automatic: true })
  }

  const noteAdopted = ({ order }: AdoptedConfiguration): void => {
    rejection = undefined
    write('configuration_adopted', { restore_count: order.restoreCount, revision: order.revision, head_hash: order.headHash.slice(0, 12) },
      `Configuration ${order.restoreCount}/${order.revision} is in force.`)
  }

  const noteRejected = ({ code, message }: ConfigurationFault): void => {
    const reason = `${code}: ${message}`
    if (reason === rejection) return
    rejection = reason
    write('configuration_rejected', { result_code: resultCode(code).code, message }, `A configuration was not adopted: ${message}.`)
  }

  const noteBehind = (reason: string | undefined): void => {
    if (reason !== undefined && behind === undefined && context.clock.nowMs() >= nextBehindLogMs) {
      nextBehindLogMs = context.clock.nowMs() + BEHIND_LOG_INTERVAL_MS
      write('configuration_service_behind', { result_code: resultCode('configuration-service-behind').code, message: reason }, `The configuration service is behind: ${reason}.`)
    }
    behind = reason
  }

  const noteService = (error: string | undefined): void => {
    const wasUnreachable = failureCount >= FAILURES_MIN
    failure = error
    failureCount = error === undefined ? 0 : failureCount + 1
    if (!wasUnreachable && failureCount >= FAILURES_MIN) {
      write('configuration_service_unreachable', { message: error ?? '' }, 'The configuration service does not answer; the configuration in force stays.')
    }
    if (wasUnreachable && error === undefined) write('configuration_service_reachable', {}, 'The configuration service answers again.')
  }

  const report = (order: ConfigurationOrder | undefined): ConfigurationReport => {
    if (rejection !== undefined) return { order, state: order ? 'rejected' : 'none', reason: rejection }
    if (behind !== undefined) return { order, state: 'service-behind', reason: behind }
    if (failureCount >= FAILURES_MIN) return { order, state: order ? 'service-unreachable' : 'none', reason: failure }
    return order ? { order, state: 'current' } : { state: 'none', reason: 'no source has a configuration yet' }
  }

  return { noteAdopted, noteRejected, noteBehind, noteService, report }
}
