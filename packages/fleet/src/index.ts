/**
 * Decisions between nodes: membership, configuration, entry answers and probes, without I/O.
 */
export * from './types.js'
export * from './constants.js'
export * from './configuration-order.js'
export * from './configuration-documents.js'
export * from './configuration-state.js'
export * from './configuration-reads.js'
export * from './membership.js'
export { createMemberMachine, nextMemberState, rankOf, type MemberEvent } from './member-lifecycle.js'
export * from './replay-guard.js'
export * from './entry-answer.js'
export * from './zone-entry.js'
export * from './probe-planner.js'
export * from './target-union.js'
export * from './published-state.js'
export * from './store-sources.js'
export * from './change-log.js'
