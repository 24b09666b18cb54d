export * from './types.js'
