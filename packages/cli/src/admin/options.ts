/**
 * What all commands that ask daemons have in common.
 */
import type { Command } from 'commander'
import { resultCode } from '@wisteriavalve/schema'
import type { Result } from '@wisteriavalve/common'
import type { NodeResults } from '@wisteriavalve/daemon/admin-api'
import { countOf } from '../output.js'
import { wrapText } from '../text.js'
import type { Io, Outcome, ToolFailure } from '../types.js'
import { ADMIN_DEFAULT, ADMIN_VARIABLE, readAdminAddresses } from './addresses.js'
import type { AdminCall } from './client.js'
import { gatherFleet, type FleetData } from './gather.js'

export type AdminOptions = { admin?: string[], timeoutMs: string, json?: boolean }

const TIMEOUT_DEFAULT_MS = 10_000
const TIMEOUT_MAX_MS = 600_000

const addToList = (value: string, list: string[] | undefined): string[] => [...list ?? [], value]

export const addAdminOptions = (command: Command): Command => command
  .option('--admin <host:port>', `admin address of a daemon; may be given several times (environment ${ADMIN_VARIABLE}, separated by commas; default ${ADMIN_DEFAULT})`, addToList)
  .option('--timeout-ms <ms>', 'longest time to wait for a daemon', String(TIMEOUT_DEFAULT_MS))
  .option('--json', 'print JSON')

const readTimeout = (text: string): Result<number, ToolFailure> => {
  const timeoutMs = Number(text)
  return Number.isInteger(timeoutMs) && timeoutMs >= 1 && timeoutMs <= TIMEOUT_MAX_MS
    ? { ok: true, value: timeoutMs }
    : { ok: false, error: { result: 'usage', message: `--timeout-ms must be a whole number from 1 to ${TIMEOUT_MAX_MS}, but is ${text}` } }
}

/** Calls a fleet procedure at the addresses of the options. */
export const gatherByOptions = async <T extends { nodeId: string }>(
  options: AdminOptions, io: Io, call: AdminCall<NodeResults<T>>, isValid: (entry: unknown) => boolean
): Promise<Result<FleetData<T>, ToolFailure>> => {
  const addresses = readAdminAddresses(options.admin, io.env)
  if (!addresses.ok) return addresses
  const timeout = readTimeout(options.timeoutMs)
  if (!timeout.ok) return timeout
  return await gatherFleet({ addresses: addresses.value, timeoutMs: timeout.value, call, isValid })
}

/** Lines that name what is missing; empty when the data is complete. */
export const describeMissing = ({ missing }: Pick<FleetData<unknown>, 'missing'>): string[] => missing.length === 0
  ? []
  : [
      `INCOMPLETE (${resultCode('nodes-missing').code}): ${countOf(missing.length, 'node')} did not answer:`,
      ...missing.flatMap(({ nodeId, reason }) => wrapText(`  ${nodeId}: ${reason}`, 80, '    '))
    ]

export const outcomeOf = ({ missing }: Pick<FleetData<unknown>, 'missing'>): Outcome => ({ exit: missing.length === 0 ? 'ok' : 'incomplete' })
