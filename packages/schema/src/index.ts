/**
 * Types, validators and tables generated from the schemas of answers,
 * configuration, messages, settings, result codes and log events.
 */
export * from './generated/types.js'
export * from './generated/result-codes.js'
export * from './generated/settings.js'
export * from './generated/log-events.js'
export * from './results.js'
export * from './validators.js'
