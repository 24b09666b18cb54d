/**
 * Test doubles, fault injection, load and benches. Never imported by the product.
 */
export * from './net.js'
export * from './platform/outage.js'
export * from './platform/configuration-service.js'
export * from './platform/vm-list.js'
export * from './backend/types.js'
export * from './backend/answer.js'
export * from './backend/server.js'
export * from './backend/process.js'
