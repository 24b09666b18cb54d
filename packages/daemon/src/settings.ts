/**
 * Reads the settings of the process from flags, environment variables and
 * defaults, in this order. The schema package lists the settings; this module
 * parses each type of value.
 */
import { isIP } from 'node:net'
import { Command, CommanderError, Option } from 'commander'
import type { Result } from '@wisteriavalve/common'
import { SETTINGS, type SettingName } from '@wisteriavalve/schema'
import { createStartupError, type StartupError } from './startup-error.js'
import type { DaemonSettings, ListenAddress } from './types.js'

type Reader = (text: string) => { ok: true, value: unknown } | { ok: false, expected: string }

const POLICIES = ['round-robin', 'random', 'least-in-flight', 'two-choices', 'prequal', 'adaptive']
const LOG_LEVELS = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent']
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/
const ADDRESS = /^(?:\[([0-9A-Fa-f:.]+)\]|([^:[\]]+)):(\d{1,5})$/

const valid = (value: unknown) => ({ ok: true as const, value })
const invalid = (expected: string) => ({ ok: false as const, expected })

const readInteger = (text: string, max: number): number | undefined =>
  /^\d{1,15}$/.test(text) && Number(text) <= max ? Number(text) : undefined

const readAddress = (text: string): ListenAddress | undefined => {
  const match = ADDRESS.exec(text)
  const host = match?.[1] ?? match?.[2]
  const port = readInteger(match?.[3] ?? '', 65_535)
  return host !== undefined && isIP(host) !== 0 && port !== undefined ? { host, port } : undefined
}

const oneOf = (names: readonly string[]): Reader => text =>
  names.includes(text) ? valid(text) : invalid(`one of ${names.join(', ')}`)

const readWith = (expected: string, read: (text: string) => unknown): Reader => text => {
  const value = read(text)
  return value === undefined ? invalid(expected) : valid(value)
}

const readUrl = (text: string): string | undefined =>
  URL.canParse(text) && ['http:', 'https:'].includes(new URL(text).protocol) ? text : undefined

const readNames = (text: string): string[] | undefined => {
  const names = text.split(',').map(name => name.trim()).filter(name => name !== '')
  return names.every(name => NAME.test(name)) ? names : undefined
}

const READERS: Record<(typeof SETTINGS)[number]['type'], Reader> = {
  name: text => NAME.test(text) ? valid(text) : invalid('a name of letters, digits, ".", "_" and "-"'),
  secret: text => text.length >= 16 ? valid(text) : invalid('at least 16 characters'),
  address: readWith('an IP address and a port, such as 127.0.0.1:8080', readAddress),
  host: text => isIP(text) === 0 ? invalid('an IP address') : valid(text),
  port: readWith('a port from 1 to 65535', text => readInteger(text, 65_535) || undefined),
  url: readWith('an http or https URL', readUrl),
  names: readWith('names separated by commas', readNames),
  policy: oneOf(POLICIES),
  integer: readWith('a whole number from 0', text => readInteger(text, Number.MAX_SAFE_INTEGER)),
  'log-level': oneOf(LOG_LEVELS)
}

const createProgram = (env: NodeJS.ProcessEnv): { program: Command, textOf: (row: (typeof SETTINGS)[number]) => string | undefined } => {
  const program = new Command('wisteriavalved')
    .description('Load balancer daemon for an entry VM.')
    .exitOverride()
    .configureOutput({ writeErr: () => undefined })
  for (const row of SETTINGS) program.addOption(new Option(`${row.flag} <${row.type}>`, `${row.description} [${row.env}]`))
  const textOf = (row: (typeof SETTINGS)[number]): string | undefined => {
    const byFlag = program.opts<Partial<Record<SettingName, string>>>()[row.name]
    return byFlag ?? env[row.env] ?? ('default' in row ? row.default : undefined)
  }
  return { program, textOf }
}

/** Text of a value for messages. Secrets are omitted, since messages are logged. */
const displayText = (row: (typeof SETTINGS)[number], text: string): string => row.type === 'secret' ? '' : `"${text}" `

const readSettings = (textOf: (row: (typeof SETTINGS)[number]) => string | undefined): Result<DaemonSettings, StartupError> => {
  const settings: Record<string, unknown> = {}
  for (const row of SETTINGS) {
    const text = textOf(row)
    if (text === undefined || (text === '' && row.type !== 'names')) {
      if ('required' in row) return { ok: false, error: createStartupError('setting-missing', `The setting ${row.flag} (${row.env}) is required and has no value.`) }
      continue
    }
    const read = READERS[row.type](text)
    if (!read.ok) return { ok: false, error: createStartupError('setting-invalid', `The setting ${row.flag} (${row.env}) has the value ${displayText(row, text)}but must be ${read.expected}.`) }
    settings[row.name] = read.value
  }
  return { ok: true, value: settings as DaemonSettings }
}

/**
 * @param args flags without the program's name
 * @throws CommanderError for --help, with exit code 0
 */
export const parseSettings = (args: readonly string[], env: NodeJS.ProcessEnv): Result<DaemonSettings, StartupError> => {
  const { program, textOf } = createProgram(env)
  try {
    program.parse(args, { from: 'user' })
  } catch (error) {
    if (error instanceof CommanderError && error.exitCode === 0) throw error
    const message = error instanceof Error ? error.message.replace(/^error: /, '') : String(error)
    return { ok: false, error: createStartupError('setting-invalid', `The command line is not valid: ${message}.`) }
  }
  return readSettings(textOf)
}
