/**
 * From answers to configuration.
 */
export * from './types.js'
export * from './constants.js'
export * from './resolve.js'
export * from './generate.js'
