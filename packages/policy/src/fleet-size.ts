/**
 * Number of nodes between which a fleet-wide limit is divided.
 */

/** Lower bound, since a node that just started has not discovered its fleet yet. */
const NODE_COUNT_MIN = 12

/** Highest node count observed. During a partition, all sides together then stay within the limit. */
export const createFleetSize = (nodeCount: () => number): (() => number) => {
  let nodeCountMax = NODE_COUNT_MIN
  return () => {
    nodeCountMax = Math.max(nodeCountMax, nodeCount())
    return nodeCountMax
  }
}
