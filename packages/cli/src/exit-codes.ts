/**
 * Exit codes of the tool; docs/command-line.md lists them.
 */
import type { ResultName } from '@wisteriavalve/schema'

export const EXIT_CODES = [
  { code: 0, name: 'ok', meaning: 'The command succeeded. Warnings may have been printed.' },
  { code: 1, name: 'faults', meaning: 'The answers have faults; nothing was written.' },
  { code: 2, name: 'usage', meaning: 'The command line is not valid.' },
  { code: 3, name: 'unreadable', meaning: 'An answers file cannot be read or is not valid YAML.' },
  { code: 4, name: 'output-failed', meaning: 'A file cannot be written, or exists and --force was not given.' },
  { code: 5, name: 'unreachable', meaning: 'No daemon answered at the admin addresses.' },
  { code: 6, name: 'incomplete', meaning: 'The output was printed, but data of some nodes is missing.' },
  { code: 70, name: 'internal', meaning: 'Internal error of the tool. Please report it.' },
  { code: 130, name: 'interrupted', meaning: 'Interrupted by Ctrl-C. init prints where the answers were saved.' }
] as const

export type ExitName = typeof EXIT_CODES[number]['name']

export const exitCode = (name: ExitName): number =>
  EXIT_CODES.find(row => row.name === name)?.code ?? 70

const EXIT_NAME_BY_RESULT: Partial<Record<ResultName, ExitName>> = {
  'answers-unreadable': 'unreadable',
  'answers-invalid': 'faults',
  'value-too-large': 'faults',
  usage: 'usage',
  'output-failed': 'output-failed',
  'daemon-unreachable': 'unreachable',
  'nodes-missing': 'incomplete'
}

export const exitNameForResult = (result: ResultName): ExitName => EXIT_NAME_BY_RESULT[result] ?? 'internal'
