/**
 * Options and output shared by all commands that query daemons.
 */
import type { Command } from 'commander'
import { resultCode } from '@wisteriavalve/schema'
import type { Result } from '@wisteriavalve/common'
import type { NodeResults } from '@wisteriavalve/daemon/admin-api'
import { formatCount } from '../output.js'
import { wrapText } from '../text.js'
import type { Io, Outcome, ToolFailure } from '../types.js'
import { ADMIN_ADDRESS_DEFAULT, ADMIN_ENV_VARIABLE, readAdminAddresses } from './addresses.js'
import type { AdminCall } from './client.js'
import { gatherFleet, type FleetData } from './gather.js'

export type AdminOptions = { admin?: string[], timeoutMs: string, json?: boolean }

const TIMEOUT_DEFAULT_MS = 10_000
const TIMEOUT_MAX_MS = 600_000

const appendValue = (value: string, list: string[] | undefined): string[] => [...list ?? [], value]

export const addAdminOptions = (command: Command): Command => command
  .option('--admin <host:port>', `admin address of a daemon; may be given several times (environment ${ADMIN_ENV_VARIABLE}, separated by commas; default ${ADMIN_ADDRESS_DEFAULT})`, appendValue)
  .option('--timeout-ms <ms>', 'longest time to wait for a daemon', String(TIMEOUT_DEFAULT_MS))
  .option('--json', 'print JSON')

const parseTimeoutMs = (text: string): Result<number, ToolFailure> => {
  const timeoutMs = Number(text)
  return Number.isInteger(timeoutMs) && timeoutMs >= 1 && timeoutMs <= TIMEOUT_MAX_MS
    ? { ok: true, value: timeoutMs }
    : { ok: false, error: { result: 'usage', message: `--timeout-ms must be a whole number from 1 to ${TIMEOUT_MAX_MS}, but is ${text}` } }
}

/** Calls a fleet procedure at the admin addresses given by the options. */
export const gatherWithOptions = async <T extends { nodeId: string }>(
  options: AdminOptions, io: Io, call: AdminCall<NodeResults<T>>, isValid: (entry: unknown) => boolean
): Promise<Result<FleetData<T>, ToolFailure>> => {
  const addresses = readAdminAddresses(options.admin, io.env)
  if (!addresses.ok) return addresses
  const timeout = parseTimeoutMs(options.timeoutMs)
  if (!timeout.ok) return timeout
  return await gatherFleet({ addresses: addresses.value, timeoutMs: timeout.value, call, isValid })
}

/** Lines that list the missing nodes; empty when the data is complete. */
export const describeMissing = ({ missing }: Pick<FleetData<unknown>, 'missing'>): string[] => missing.length === 0
  ? []
  : [
      `INCOMPLETE (${resultCode('nodes-missing').code}): ${formatCount(missing.length, 'node')} did not answer:`,
      ...missing.flatMap(({ nodeId, reason }) => wrapText(`  ${nodeId}: ${reason}`, 80, '    '))
    ]

export const outcomeForData = ({ missing }: Pick<FleetData<unknown>, 'missing'>): Outcome => ({ exit: missing.length === 0 ? 'ok' : 'incomplete' })
