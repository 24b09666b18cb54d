/**
 * Entry of the command-line tool.
 */
import { exitCode } from './exit-codes.js'
import { runTool } from './program.js'

process.exitCode = exitCode(await runTool(process.argv.slice(2), {
  stdin: process.stdin,
  stdout: process.stdout,
  stderr: process.stderr,
  env: process.env,
  nowWallMs: Date.now
}))
