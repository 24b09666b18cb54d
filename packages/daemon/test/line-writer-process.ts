/** Writes more lines to stdout than a pipe holds. Then prints the duration and the number of dropped lines to stderr. */
import { createLineWriter } from '../src/line-writer.js'

const writer = createLineWriter(1, 65_536)
const startMs = performance.now()
for (let count = 0; count < 20_000; count++) writer.write(`line=${count} ${'x'.repeat(100)}`)
setTimeout(() => {
  process.stderr.write(JSON.stringify({ tookMs: performance.now() - startMs, dropped: writer.takeDropped() }))
  process.exit(0)
}, 200)
