/**
 * Clock, random source, rendezvous hashing, counting and event record.
 */
export * from './types.js'
export * from './clock.js'
export * from './count-by.js'
export * from './random.js'
export * from './rendezvous.js'
export * from './configuration-keys.js'
export * from './event-record.js'
export * from './reset-socket.js'
