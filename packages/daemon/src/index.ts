/**
 * Public interface of the package: types of the daemon, the admin API, the
 * fleet runtimes, and the entry point for daemons of other platforms.
 */
export * from './types.js'
export * from './admin-api.js'
export { createFleetRuntime } from './fleet/fleet-runtime.js'
export type { EntryCaller, ZoneRegions } from './fleet/route-zones.js'
export { createProbeRunner } from './fleet/probe-runner.js'
export { createStoreFleet } from './fleet/store-fleet.js'
export type { PlatformStore, StoreChanges, StoreError } from './fleet/store-follower.js'
export { createHttpReader, parseJson, type HttpResponse } from './adapters/http-json.js'
export { runDaemon, type DaemonProgram } from './run-daemon.js'
export type { Daemon, DaemonOptions } from './daemon.js'
export { readPauseMs, type HttpDialect } from './http-dialect.js'
