/**
 * Number of nodes among which a limit of the whole fleet is divided.
 */

/** A node that just started does not know the size of its fleet yet. */
const NODES_MIN = 12

/** The most nodes ever seen, so that the sides of a partition together stay within a limit. */
export const createFleetSize = (nodeCount: () => number): (() => number) => {
  let nodesMax = NODES_MIN
  return () => {
    nodesMax = Math.max(nodesMax, nodeCount())
    return nodesMax
  }
}
