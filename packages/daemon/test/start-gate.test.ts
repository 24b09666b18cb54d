/**
 * Guards against refusing callers just before a started node has its
 * configuration, and against holding requests on a node that gets none.
 */
import test from 'ava'
import { createManualClock } from '@wisteriavalve/common'
import { createStartGate } from '../src/start-gate.js'

test('requests wait for the configuration in order, and time out', t => {
  const clock = createManualClock()
  const gate = createStartGate(clock)
  const passed: string[] = []
  t.true(gate.tryWait(() => passed.push('a'), () => passed.push('a timed out')))
  clock.advance(200)
  t.true(gate.tryWait(() => passed.push('b'), () => passed.push('b timed out')))
  clock.advance(150)
  t.deepEqual(passed, ['a timed out'])
  gate.open()
  clock.advance(1000)
  t.deepEqual(passed, ['a timed out', 'b'])
})

test('a node without a configuration after its first seconds refuses requests at once', t => {
  const clock = createManualClock()
  const gate = createStartGate(clock)
  clock.advance(2500)
  t.false(gate.tryWait(() => t.fail(), () => t.fail()))
})
