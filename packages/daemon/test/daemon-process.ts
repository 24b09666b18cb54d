/**
 * Runs a daemon with a fake fleet in a process of its own, for tests of process
 * behaviour.
 */
import type { ServiceConfiguration } from '@wisteriavalve/schema'
import { DEFAULT_DIALECT } from '../src/http-dialect.js'
import { runDaemon } from '../src/run-daemon.js'
import { run } from '../src/run.js'
import { parseSettings } from '../src/settings.js'
import { createFakeFleet } from './support.js'

const services = JSON.parse(process.env.TEST_SERVICES ?? '[]') as ServiceConfiguration[]
// Registered before the start, since a signal without a listener ends the process.
process.on('SIGUSR2', () => { throw new Error(process.env.TEST_FAULT) })
const createFleet = () => createFakeFleet(services, Number(process.env.TEST_ENTRY_LIFETIME_MS ?? 300))
if (process.env.TEST_ENDS_BY_CLOSE === undefined) await run(process.argv.slice(2), process.env, createFleet)
else {
  const settings = parseSettings([], process.env)
  if (!settings.ok) throw new Error(settings.error.message)
  await runDaemon(settings.value, { createFleet, options: { dialect: { ...DEFAULT_DIALECT, allowsEndByClose: true } } })
}
