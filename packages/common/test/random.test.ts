/** Guards against random sequences that start with similar values for all seeds. Noisy neighbours in a load test then never became active. */
import test from 'ava'
import { createRandom } from '../src/index.js'

test('the first values of different seeds are spread evenly', t => {
  for (let position = 0; position < 4; position++) {
    const deciles = new Array<number>(10).fill(0)
    for (let seed = 0; seed < 2000; seed++) {
      const random = createRandom(seed)
      for (let skipped = 0; skipped < position; skipped++) random.next()
      const decile = Math.floor(random.next() * 10)
      deciles[decile] = (deciles[decile] ?? 0) + 1
    }
    for (const count of deciles) t.true(count > 140 && count < 260, `position ${position}: ${deciles.join(' ')}`)
  }
})
