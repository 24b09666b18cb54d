/**
 * Command line of the tool: registers all commands, runs the selected one and
 * maps its outcome to an exit code.
 */
import { Command, CommanderError } from 'commander'
import { COMMANDS } from './commands.js'
import { EXIT_CODES, exitNameForResult, type ExitName } from './exit-codes.js'
import { failureDocument, printFailure, printJson } from './output.js'
import type { Io, Outcome } from './types.js'

const renderExitCodeHelp = (): string =>
  ['', 'Exit codes:', ...EXIT_CODES.map(({ code, meaning }) => `  ${String(code).padEnd(4)} ${meaning}`)].join('\n')

const HELP_INTRO = `Generates the configuration of a wisteriavalve fleet from the answers to a
questionnaire, and shows the state of its daemons. First steps:

  wisteriavalve init answers.yaml               answer the questions
  wisteriavalve check answers.yaml              check the answers
  wisteriavalve generate answers.yaml --out d   write the files to publish
  wisteriavalve status                          show the state of the fleet`

const createProgram = (io: Io, finish: (outcome: Outcome, options: { json?: boolean }) => void): Command => {
  const program = new Command('wisteriavalve')
    .description(HELP_INTRO)
    .version('0.1.0')
    .exitOverride()
    .showHelpAfterError('(use --help for arguments and options)')
    .configureOutput({
      writeOut: text => io.stdout.write(text),
      writeErr: text => io.stderr.write(text),
      outputError: (text, write) => write(text.replace(/^error:/, 'error WV-5002 usage:'))
    })
    .addHelpText('after', renderExitCodeHelp())
  for (const command of COMMANDS) command.register(program, io, finish)
  return program
}

/** Commander throws for --help and --version as well. Usage errors were already printed on stderr. */
const handleCommanderError = (error: CommanderError, args: readonly string[], io: Io): ExitName => {
  if (error.exitCode === 0) return 'ok'
  if (args.includes('--json')) printJson(io, failureDocument({ result: 'usage', message: error.message.replace(/^error: /, '') }))
  return 'usage'
}

/** @param args arguments without the name of the tool */
export const runTool = async (args: readonly string[], io: Io): Promise<ExitName> => {
  let exit: ExitName = 'ok'
  const finish = (outcome: Outcome, { json = false }: { json?: boolean }): void => {
    if ('failure' in outcome) printFailure(io, outcome.failure, json)
    exit = 'failure' in outcome ? exitNameForResult(outcome.failure.result) : outcome.exit
  }
  try {
    await createProgram(io, finish).parseAsync([...args], { from: 'user' })
    return exit
  } catch (error) {
    if (error instanceof CommanderError) return handleCommanderError(error, args, io)
    io.stderr.write(`internal error: ${error instanceof Error ? error.stack : String(error)}\n`)
    return 'internal'
  }
}
