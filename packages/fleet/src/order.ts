/**
 * Order of configurations: restore count, then revision. The head hash decides
 * only when a misbehaving configuration service gives different bytes under
 * one revision: every node then ends at the same bytes and none alternates.
 */
import type { CompareOrder } from './types.js'

export const compareOrder: CompareOrder = (a, b) =>
  a.restoreCount - b.restoreCount || a.revision - b.revision ||
  (a.headHash === b.headHash ? 0 : a.headHash < b.headHash ? -1 : 1)

/** Whether the configuration service contradicted itself: one revision, different bytes. */
export const isContradiction: (a: Parameters<CompareOrder>[0], b: Parameters<CompareOrder>[1]) => boolean = (a, b) =>
  a.restoreCount === b.restoreCount && a.revision === b.revision && a.headHash !== b.headHash
