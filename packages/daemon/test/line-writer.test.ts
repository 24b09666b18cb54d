/**
 * Guards against a process that stands still because nobody reads its log.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'

test('a reader that does not read costs lines, which are counted, and no time', async t => {
  const child = spawn(process.execPath, [fileURLToPath(new URL('line-writer-process.js', import.meta.url))], { stdio: ['ignore', 'pipe', 'pipe'] })
  t.teardown(() => { child.kill('SIGKILL') })
  let said = ''
  child.stderr.on('data', chunk => { said += String(chunk) })
  await once(child.stderr, 'end')
  const { tookMs, dropped } = JSON.parse(said) as { tookMs: number, dropped: number }
  t.true(tookMs < 5000)
  t.true(dropped > 10_000)
})
