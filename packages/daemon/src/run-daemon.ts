/**
 * Runs a daemon process with parsed settings: signals, unexpected errors and
 * exit codes.
 */
import { randomInt } from 'node:crypto'
import { createEventRecord, createRandom, createSystemClock } from '@wisteriavalve/common'
import { EVENT_RECORD_CAPACITY, EXIT_ADDRESS_IN_USE, EXIT_INVALID_SETTINGS, EXIT_UNEXPECTED_ERROR } from './constants.js'
import { createDaemon, type Daemon, type DaemonOptions } from './daemon.js'
import { createLineWriter } from './line-writer.js'
import { isStartupError } from './listening.js'
import { createLog } from './logs.js'
import type { StartupError } from './startup-error.js'
import type { DaemonContext, DaemonSettings, FleetRuntime, Log } from './types.js'

const STDOUT_FD = 1
/** Interval at which dropped log lines are reported. */
const DROPPED_CHECK_MS = 5_000

export const failStartup = (log: Log, { code, name, message }: StartupError): void => {
  log('start_failed', { result_code: code, message })
  process.stderr.write(`${code} ${message}\n`)
  process.exitCode = name === 'address-in-use' ? EXIT_ADDRESS_IN_USE : EXIT_INVALID_SETTINGS
}

const createContext = (settings: DaemonSettings, log: Log): DaemonContext => ({
  settings,
  clock: createSystemClock(),
  random: createRandom(settings.seed === 0 ? randomInt(1, 0x7fffffff) : settings.seed),
  log,
  events: createEventRecord(EVENT_RECORD_CAPACITY)
})

/**
 * After an unexpected error the state of the process is undefined, so it exits
 * and the platform restarts it.
 */
const exitOnUnexpectedError = (log: Log): void => {
  const onError = (error: unknown): void => {
    log('daemon_failed', { message: error instanceof Error ? error.stack ?? error.message : String(error) })
    process.exit(EXIT_UNEXPECTED_ERROR)
  }
  process.on('uncaughtException', onError)
  process.on('unhandledRejection', onError)
}

const leaveOnSignals = (leave: () => Promise<void>): void => {
  let isLeaving = false
  const onSignal = (): void => {
    if (isLeaving) return
    isLeaving = true
    leave().then(() => process.exit(0), error => { throw error })
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}

const reportDroppedLines = ({ clock, log }: DaemonContext, takeDropped: () => number): void => {
  const check = (): void => {
    const count = takeDropped()
    if (count > 0) log('lines_left_out', { count, reason: 'the log output is closed or not read fast enough' })
    clock.after(DROPPED_CHECK_MS, check)
  }
  clock.after(DROPPED_CHECK_MS, check)
}

/** Parts and options that differ between installations of the daemon. */
export type DaemonProgram = {
  createFleet: (context: DaemonContext) => FleetRuntime
  options?: DaemonOptions
  /** Called when all addresses are bound. */
  onStarted?: (daemon: Daemon, fleet: FleetRuntime, context: DaemonContext) => Promise<void>
}

/** Starts a daemon, which runs until SIGTERM or SIGINT. */
export const runDaemon = async (settings: DaemonSettings, { createFleet, options, onStarted }: DaemonProgram): Promise<void> => {
  const writer = createLineWriter(STDOUT_FD)
  const log = createLog(settings.logLevel, writer.write, settings.nodeId)
  process.once('exit', writer.flush)
  exitOnUnexpectedError(log)
  const context = createContext(settings, log)
  reportDroppedLines(context, writer.takeDropped)
  const fleet = createFleet(context)
  const daemon = createDaemon(context, fleet, options)
  leaveOnSignals(daemon.leave)
  try {
    await daemon.start()
    await onStarted?.(daemon, fleet, context)
  } catch (error) {
    if (!isStartupError(error)) throw error
    failStartup(log, error)
    process.exit()
  }
}
