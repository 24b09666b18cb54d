export * from './types.js'
export * from './admin-api.js'
export { createFleetRuntime } from './fleet/fleet-runtime.js'
