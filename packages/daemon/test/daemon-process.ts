/**
 * Runs a daemon with a fake fleet in a process of its own, for tests of process
 * behaviour.
 */
import type { ServiceConfiguration } from '@wisteriavalve/schema'
import { run } from '../src/run.js'
import { createFakeFleet } from './support.js'

const services = JSON.parse(process.env.TEST_SERVICES ?? '[]') as ServiceConfiguration[]
// Registered before the start, since a signal without a listener ends the process.
process.on('SIGUSR2', () => { throw new Error(process.env.TEST_FAULT) })
await run(process.argv.slice(2), process.env, () => createFakeFleet(services, Number(process.env.TEST_ENTRY_LIFETIME_MS ?? 300)))
