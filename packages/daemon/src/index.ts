/**
 * Types of the daemon and the interface of its admin address.
 */
export * from './types.js'
export * from './admin-api.js'
