/**
 * Updates the help texts and exit codes in docs/command-line.md from the built
 * tool. With --check, writes nothing and exits with 1 when the page is out of
 * date.
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
