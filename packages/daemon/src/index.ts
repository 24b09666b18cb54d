/**
 * Types of the daemon, the interface of its admin address, and the fleet runtime.
 */
export * from './types.js'
export * from './admin-api.js'
export { createFleetRuntime } from './fleet/fleet-runtime.js'
export { createProbeRunner } from './fleet/probe-runner.js'
