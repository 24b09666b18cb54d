/**
 * Guards against a process that blocks because nobody reads its log.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'

test('lines that nobody reads are dropped and counted, and do not block the process', async t => {
  const child = spawn(process.execPath, [fileURLToPath(new URL('line-writer-process.js', import.meta.url))], { stdio: ['ignore', 'pipe', 'pipe'] })
  t.teardown(() => { child.kill('SIGKILL') })
  let stderrText = ''
  child.stderr.on('data', chunk => { stderrText += String(chunk) })
  await once(child.stderr, 'end')
  const { tookMs, dropped } = JSON.parse(stderrText) as { tookMs: number, dropped: number }
  t.true(tookMs < 5000)
  t.true(dropped > 10_000)
})
