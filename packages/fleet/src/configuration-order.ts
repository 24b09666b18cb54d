/**
 * Order of configurations: by restore count, then by revision. The head hash only
 * breaks ties when a faulty configuration service returns different bytes for one
 * revision. Every node then settles on the same bytes and none alternates.
 */
import type { CompareOrder } from './types.js'

export const compareOrder: CompareOrder = (a, b) =>
  a.restoreCount - b.restoreCount || a.revision - b.revision ||
  (a.headHash === b.headHash ? 0 : a.headHash < b.headHash ? -1 : 1)

/** Whether the configuration service returned different bytes for the same revision. */
export const isHeadConflict: (a: Parameters<CompareOrder>[0], b: Parameters<CompareOrder>[1]) => boolean = (a, b) =>
  a.restoreCount === b.restoreCount && a.revision === b.revision && a.headHash !== b.headHash
