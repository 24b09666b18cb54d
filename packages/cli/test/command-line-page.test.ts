/**
 * Guards against a command-line page that omits a command, or lists options
 * and exit codes that the tool does not have.
 */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import test from 'ava'
import { COMMANDS, updateCommandLinePage } from '../src/index.js'
import { ROOT } from './support.js'

test('docs/command-line.md has every command and is up to date; update it with packages/cli/scripts/command-line-page.js', async t => {
  const page = readFileSync(join(ROOT, 'docs/command-line.md'), 'utf8')
  t.is(page, await updateCommandLinePage(page))
  for (const { name } of COMMANDS) t.true(page.includes(`<!-- help ${name} -->`), name)
  t.true(page.includes('<!-- exit-codes -->'))
})
