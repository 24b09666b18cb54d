/**
 * Entry point of the command-line tool.
 */
import { exitCode } from './exit-codes.js'
import { runTool } from './program.js'

// A reader such as head may close the pipe early. Exiting is safe: files are written before anything is printed.
process.stdout.on('error', (error: { code?: string }) => {
  if (error.code !== 'EPIPE') throw error
  process.exit()
})

process.exitCode = exitCode(await runTool(process.argv.slice(2), {
  stdin: process.stdin,
  stdout: process.stdout,
  stderr: process.stderr,
  env: process.env,
  nowWallMs: Date.now
}))
