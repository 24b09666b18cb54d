/**
 * Guards against nodes that learn late that another one lost or regained the
 * targets, and against announcements that follow each change of the load.
 */
import test from 'ava'
import type { MemberUpdate } from '@wisteriavalve/schema'
import { UNREACHABLE_LOAD_PERCENT } from '../src/constants.js'
import { createSelfState } from '../src/self-state.js'

const SELF: MemberUpdate = { nodeId: 'n1', incarnation: 1, state: 'alive', zone: 'a', host: '127.0.0.1', callerPort: 1, gossipPort: 2, peerPort: 3, loadPercent: 0 }

test('the loss of the targets and its end are announced within a second, also soon after a change of the load', t => {
  const self = createSelfState(SELF)
  self.setLoadPercent(90)
  t.true(self.announceLoad(10_000))
  self.setLoadPercent(UNREACHABLE_LOAD_PERCENT)
  t.true(self.announceLoad(11_000))
  self.setLoadPercent(40)
  t.true(self.announceLoad(12_000))
  t.is(self.get().incarnation, 4)
})

test('changes of the load alone, and a loss that flaps, are announced at a limited rate', t => {
  const self = createSelfState(SELF)
  let count = 0
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    self.setLoadPercent((nowMs / 100) % 2 === 0 ? 0 : 90)
    if (self.announceLoad(nowMs)) count++
  }
  t.true(count <= 2)
  for (let nowMs = 10_000; nowMs < 20_000; nowMs += 100) {
    self.setLoadPercent((nowMs / 100) % 2 === 0 ? 0 : UNREACHABLE_LOAD_PERCENT)
    if (self.announceLoad(nowMs)) count++
  }
  t.true(count <= 12)
})
