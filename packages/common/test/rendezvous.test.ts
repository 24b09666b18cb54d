/** Guards against ownership that depends on the order of a node's member list, and against keys that move without need. */
import test from 'ava'
import { createEventRecord, createRandom, rendezvousOrder, shuffle } from '../src/index.js'

const members = Array.from({ length: 20 }, (_, index) => `entry-${index}`)

test('the order does not depend on the order of the members', t => {
  t.deepEqual(rendezvousOrder('key', shuffle(members, createRandom(7))), rendezvousOrder('key', members))
})

test('when a member leaves, only its own keys move', t => {
  const keys = Array.from({ length: 500 }, (_, index) => `key-${index}`)
  const [leaver, ...rest] = members
  for (const key of keys) {
    const before = rendezvousOrder(key, members)[0]
    if (before !== leaver) t.is(rendezvousOrder(key, rest)[0], before)
  }
})

test('the event record keeps the newest entries in order', t => {
  const record = createEventRecord(3)
  for (let index = 0; index < 5; index++) record.add({ atMs: index, wallMs: index, event: 'e', text: String(index) })
  t.deepEqual(record.find(() => true).map(entry => entry.text), ['2', '3', '4'])
})
