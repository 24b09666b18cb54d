export * from './types.js'
export * from './admin-api.js'
