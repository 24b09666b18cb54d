/** Writes more lines to stdout than a pipe holds, and then says on stderr how long it took and what was dropped. */
import { createLineWriter } from '../src/line-writer.js'

const writer = createLineWriter(1, 65_536)
const startMs = performance.now()
for (let count = 0; count < 20_000; count++) writer.write(`line=${count} ${'x'.repeat(100)}`)
setTimeout(() => {
  process.stderr.write(JSON.stringify({ tookMs: performance.now() - startMs, dropped: writer.takeDropped() }))
  process.exit(0)
}, 200)
