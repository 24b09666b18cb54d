/**
 * Types shared by the commands.
 */
import type { Readable, Writable } from 'node:stream'
import type { Command } from 'commander'
import type { ResultName } from '@wisteriavalve/schema'
import type { ExitName } from './exit-codes.js'

/** Process resources that commands use; tests replace them. */
export type Io = {
  stdin: Readable
  stdout: Writable
  stderr: Writable
  env: Readonly<Record<string, string | undefined>>
  nowWallMs: () => number
}

/** Failure of a command; the code of its result is printed with it. */
export type ToolFailure = { result: ResultName, message: string, details?: unknown }

/** How a command ended. Failures go to stderr, and with --json to stdout as well. */
export type Outcome = { exit: ExitName } | { failure: ToolFailure }

/** Registers a command with its arguments and options. */
export type CommandModule = {
  name: string
  register: (program: Command, io: Io, finish: (outcome: Outcome, options: { json?: boolean }) => void) => void
}
