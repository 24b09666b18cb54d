/**
 * Runs a daemon process with settings from flags and environment variables.
 */
import { CommanderError } from 'commander'
import { createLog } from './logs.js'
import { failStartup, runDaemon } from './run-daemon.js'
import { parseSettings } from './settings.js'
import type { DaemonContext, FleetRuntime } from './types.js'

/** @param args flags without the program's name */
export const run = async (args: readonly string[], env: NodeJS.ProcessEnv, createFleet: (context: DaemonContext) => FleetRuntime): Promise<void> => {
  try {
    const settings = parseSettings(args, env)
    if (settings.ok) await runDaemon(settings.value, { createFleet })
    else failStartup(createLog('error', line => { process.stdout.write(`${line}\n`) }), settings.error)
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
  }
}
