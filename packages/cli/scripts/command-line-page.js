/**
 * Brings the help texts and exit codes in docs/command-line.md up to date.
 * With --check nothing is written and the exit code is 1 when they are not.
 * Needs a build.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { updateCommandLinePage } from '../dist/src/index.js'

const path = fileURLToPath(new URL('../../../docs/command-line.md', import.meta.url))
const page = readFileSync(path, 'utf8')
const updated = await updateCommandLinePage(page)

if (process.argv.includes('--check')) {
  if (page !== updated) console.error(`out of date: ${path}; run node packages/cli/scripts/command-line-page.js`)
  process.exitCode = page === updated ? 0 : 1
} else {
  if (page !== updated) writeFileSync(path, updated)
  console.log(`written=${page === updated ? 0 : 1}`)
}
