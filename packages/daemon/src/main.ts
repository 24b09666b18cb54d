/**
 * Entry point of wisteriavalved.
 */
import { createFleetRuntime } from './fleet/fleet-runtime.js'
import { run } from './run.js'

await run(process.argv.slice(2), process.env, createFleetRuntime)
