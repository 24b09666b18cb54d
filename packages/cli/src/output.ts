/**
 * Output shared by all commands: lines, JSON documents and failures with their
 * result codes.
 */
import { resultCode } from '@wisteriavalve/schema'
import type { Io, ToolFailure } from './types.js'

export const printLines = (io: Io, lines: readonly string[]): void => {
  if (lines.length > 0) io.stdout.write(`${lines.join('\n')}\n`)
}

export const printJson = (io: Io, document: unknown): void => {
  io.stdout.write(`${JSON.stringify(document, null, 2)}\n`)
}

export const printStderrLines = (io: Io, lines: readonly string[]): void => {
  if (lines.length > 0) io.stderr.write(`${lines.join('\n')}\n`)
}

export const failureDocument = ({ result, message, details }: ToolFailure) => ({
  error: { resultCode: resultCode(result).code, name: result, message, ...(details === undefined ? {} : { details }) }
})

/** Prints one line on stderr; with json also a document on stdout, for programs that parse it. */
export const printFailure = (io: Io, failure: ToolFailure, json: boolean): void => {
  if (json) printJson(io, failureDocument(failure))
  io.stderr.write(`error ${resultCode(failure.result).code} ${failure.result}: ${failure.message}\n`)
}

/** "1 fault", "2 faults" */
export const formatCount = (count: number, singular: string, plural = `${singular}s`): string =>
  `${count} ${count === 1 ? singular : plural}`
