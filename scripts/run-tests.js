/**
 * Runs all tests and compares the failures with KNOWN-RED.txt. The exit code
 * is 0 when every failure is listed there. Listed failures are printed, and so
 * are entries whose test passes, because these can be removed.
 *
 * An entry starts with a line `FILE: "TEST TITLE"`; its other lines are
 * indented.
 */
import { spawn } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'

const KNOWN_FAILURES_FILE = new URL('../KNOWN-RED.txt', import.meta.url)
const ENTRY = /^([a-z0-9-]+): "(.+)"$/
const TAP_LINE = /^(not ok|ok) \d+ - (.*)$/

const readKnownFailures = () => {
  if (!existsSync(KNOWN_FAILURES_FILE)) return []
  return readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n')
    .map(line => ENTRY.exec(line))
    .filter(match => match !== null)
    .map(([, file, title]) => ({ file, title }))
}

/** ava omits the file name when it runs a single file. */
const isSameTest = (name, { file, title }) => name === title || name.endsWith(`${file} › ${title}`)

const knownEntries = readKnownFailures()
const passed = []
const failed = []

const ava = spawn('npx', ['ava', '--tap', ...process.argv.slice(2)], { stdio: ['ignore', 'pipe', 'inherit'] })
for await (const line of createInterface({ input: ava.stdout })) {
  console.log(line)
  const match = TAP_LINE.exec(line)
  if (!match || /# (SKIP|TODO)/.test(line)) continue
  (match[1] === 'ok' ? passed : failed).push(match[2])
}
// Read after the loop, because the exit event can occur before all output has been read.
const exitCode = ava.exitCode ?? await new Promise(resolve => ava.once('close', resolve))

const unexpected = failed.filter(name => !knownEntries.some(entry => isSameTest(name, entry)))
const knownFailures = failed.filter(name => !unexpected.includes(name))
console.log('')
for (const name of knownFailures) console.log(`known red, see KNOWN-RED.txt: ${name}`)
for (const entry of knownEntries.filter(entry => passed.some(name => isSameTest(name, entry)))) {
  console.log(`listed in KNOWN-RED.txt but passed: ${entry.file}: "${entry.title}"`)
}
for (const name of unexpected) console.log(`failed: ${name}`)
const isBroken = exitCode !== 0 && failed.length === 0
if (isBroken) console.log(`the test runner ended with ${exitCode} and reported no failed test`)
if (passed.length === 0) console.log('no test passed')
console.log(`${passed.length} passed, ${unexpected.length} failed, ${knownFailures.length} skipped`)
process.exitCode = unexpected.length > 0 || isBroken || passed.length === 0 ? 1 : 0
