/**
 * The process of a daemon whose settings are known: signals, faults and exit
 * codes.
 */
import { randomInt } from 'node:crypto'
import { createEventRecord, createRandom, createSystemClock } from '@wisteriavalve/common'
import { EVENT_RECORD_CAPACITY, EXIT_ADDRESS, EXIT_FAULT, EXIT_SETTINGS } from './constants.js'
import { createDaemon, type Daemon, type DaemonOptions } from './daemon.js'
import { createLineWriter } from './line-writer.js'
import { isStartFault } from './listening.js'
import { createLog } from './logs.js'
import type { StartFault } from './start-fault.js'
import type { DaemonContext, DaemonSettings, FleetRuntime, Log } from './types.js'

const STDOUT = 1
/** Lines that were dropped are told this often. */
const DROPPED_CHECK_MS = 5_000

export const failStart = (log: Log, { code, name, message }: StartFault): void => {
  log('start_failed', { result_code: code, message })
  process.stderr.write(`${code} ${message}\n`)
  process.exitCode = name === 'address-in-use' ? EXIT_ADDRESS : EXIT_SETTINGS
}

const createContext = (settings: DaemonSettings, log: Log): DaemonContext => ({
  settings,
  clock: createSystemClock(),
  random: createRandom(settings.seed === 0 ? randomInt(1, 0x7fffffff) : settings.seed),
  log,
  events: createEventRecord(EVENT_RECORD_CAPACITY)
})

/** After an unexpected error the state of the process is unknown, so it ends; the platform starts it again. */
const exitOnFault = (log: Log): void => {
  const onFault = (error: unknown): void => {
    log('daemon_failed', { message: error instanceof Error ? error.stack ?? error.message : String(error) })
    process.exit(EXIT_FAULT)
  }
  process.on('uncaughtException', onFault)
  process.on('unhandledRejection', onFault)
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

const tellDropped = ({ clock, log }: DaemonContext, takeDropped: () => number): void => {
  const check = (): void => {
    const count = takeDropped()
    if (count > 0) log('lines_left_out', { count, reason: 'nobody reads the log' })
    clock.after(DROPPED_CHECK_MS, check)
  }
  clock.after(DROPPED_CHECK_MS, check)
}

/** What makes the daemon of one installation out of its parts. */
export type DaemonProgram = {
  createFleet: (context: DaemonContext) => FleetRuntime
  options?: DaemonOptions
  /** Called once all addresses are bound. */
  onStarted?: (daemon: Daemon, fleet: FleetRuntime, context: DaemonContext) => Promise<void>
}

/** Runs a daemon until it is told to stop. */
export const runDaemon = async (settings: DaemonSettings, { createFleet, options, onStarted }: DaemonProgram): Promise<void> => {
  const writer = createLineWriter(STDOUT)
  const log = createLog(settings.logLevel, writer.write, settings.nodeId)
  process.once('exit', writer.flush)
  exitOnFault(log)
  const context = createContext(settings, log)
  tellDropped(context, writer.takeDropped)
  const fleet = createFleet(context)
  const daemon = createDaemon(context, fleet, options)
  leaveOnSignals(daemon.leave)
  try {
    await daemon.start()
    await onStarted?.(daemon, fleet, context)
  } catch (error) {
    if (!isStartFault(error)) throw error
    failStart(log, error)
    process.exit()
  }
}
