/**
 * Types of the decisions for a request, by concern.
 */
export * from './types/classification.js'
export * from './types/targets.js'
export * from './types/selection.js'
export * from './types/admission.js'
export * from './types/placement.js'
export * from './types/scarcity.js'
export * from './types/repeats.js'
export * from './types/connections.js'
export * from './types/suspects.js'
export * from './types/callers.js'
