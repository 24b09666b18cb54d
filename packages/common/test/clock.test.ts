/** Guards against calls of the manual clock that run late, twice or out of order. */
import test from 'ava'
import { createManualClock } from '../src/index.js'

test('scheduled calls run in order of time, including calls that they schedule', t => {
  const clock = createManualClock(100)
  const calls: string[] = []
  clock.after(20, () => calls.push(`b@${clock.nowMs()}`))
  clock.after(10, () => {
    calls.push(`a@${clock.nowMs()}`)
    clock.after(5, () => calls.push(`c@${clock.nowMs()}`))
  })
  clock.advance(30)
  t.deepEqual(calls, ['a@110', 'c@115', 'b@120'])
  t.is(clock.nowMs(), 130)
})

test('a cancelled call does not run', t => {
  const clock = createManualClock()
  const cancel = clock.after(10, () => t.fail())
  cancel()
  clock.advance(20)
  t.is(clock.nowMs(), 20)
})
