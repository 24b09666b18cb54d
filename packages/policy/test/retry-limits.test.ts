/**
 * Guards against nodes that together exceed the retry limit of their fleet, also
 * during a partition in which they do not see each other, and against nodes that
 * together exceed the probe limit of a target.
 */
import test from 'ava'
import { createFleetSize, createProbeAllowance, createRetryBudget, shareRetryLimits } from '../src/index.js'

const SHARE = 0.2
const EXTRA = 75

const countRepeats = (nodeCount: number, partitionCount: number, requestsPerNode: number): number => {
  let repeats = 0
  for (let node = 0; node < nodeCount; node++) {
    let visibleCount = nodeCount
    const budget = createRetryBudget(shareRetryLimits(SHARE, EXTRA, createFleetSize(() => visibleCount)))
    if (budget.tryTake('retry', 0)) repeats++
    visibleCount = partitionCount
    for (let count = 0; count < requestsPerNode; count++) budget.recordRequest(count)
    for (let count = 0; count < 200; count++) {
      for (const purpose of ['retry', 'hedge'] as const) if (budget.tryTake(purpose, 1000)) repeats++
    }
  }
  return repeats
}

for (const nodeCount of [12, 20, 200]) {
  for (const requestsPerNode of [0, 10, 90, 1000]) {
    test(`${nodeCount} nodes with ${requestsPerNode} requests each stay within the limit, before and in a partition`, t => {
      const limit = SHARE * nodeCount * requestsPerNode + EXTRA
      t.true(countRepeats(nodeCount, nodeCount, requestsPerNode) <= limit)
      t.true(countRepeats(nodeCount, 2, requestsPerNode) <= limit)
    })
  }
}

test('20 nodes that ask as often as they may stay within the limit of a target, but for one burst', t => {
  const ratePerS = 60
  const nodes = Array.from({ length: 20 }, () => createProbeAllowance(ratePerS, createFleetSize(() => 20)))
  const durationS = 60
  let probeCount = 0
  for (let nowMs = 0; nowMs < durationS * 1000; nowMs += 10) {
    for (const node of nodes) {
      if (!node.has('t', nowMs)) continue
      node.take('t', nowMs)
      probeCount++
    }
  }
  t.true(probeCount <= ratePerS * (durationS + 5))
  t.true(probeCount >= 0.9 * ratePerS * durationS)
})
