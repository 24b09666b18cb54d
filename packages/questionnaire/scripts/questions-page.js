/**
 * Writes docs/questionnaire.md. With --check it writes nothing and exits with
 * code 1 when the page is out of date. Requires a build.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { renderQuestionsPage } from '../dist/src/index.js'

const path = fileURLToPath(new URL('../../../docs/questionnaire.md', import.meta.url))
const isCurrent = existsSync(path) && readFileSync(path, 'utf8') === renderQuestionsPage()

if (process.argv.includes('--check')) {
  if (!isCurrent) console.error(`out of date: ${path}; run node packages/questionnaire/scripts/questions-page.js`)
  process.exitCode = isCurrent ? 0 : 1
} else {
  if (!isCurrent) writeFileSync(path, renderQuestionsPage())
  console.log(`written=${isCurrent ? 0 : 1}`)
}
