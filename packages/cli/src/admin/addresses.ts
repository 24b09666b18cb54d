/**
 * Admin addresses from --admin, the environment variable or the default, in this order.
 */
import type { Result } from '@wisteriavalve/common'
import type { Io, ToolFailure } from '../types.js'

export const ADMIN_ENV_VARIABLE = 'WISTERIAVALVE_ADMIN'
export const ADMIN_ADDRESS_DEFAULT = '127.0.0.1:8083'

const PORT_MAX = 65_535

/** host:port or [IPv6]:port */
const isAddress = (text: string): boolean => {
  const port = /^(\[[0-9a-f:.]+\]|[^\s:/@?#[\]]+):(\d{1,5})$/i.exec(text)?.[2]
  return port !== undefined && Number(port) >= 1 && Number(port) <= PORT_MAX
}

export const readAdminAddresses = (given: readonly string[] | undefined, env: Io['env']): Result<string[], ToolFailure> => {
  const fromEnv = (env[ADMIN_ENV_VARIABLE] ?? '').split(',').map(part => part.trim()).filter(part => part !== '')
  const source = given && given.length > 0 ? '--admin' : ADMIN_ENV_VARIABLE
  const addresses = given && given.length > 0 ? [...given] : fromEnv.length > 0 ? fromEnv : [ADMIN_ADDRESS_DEFAULT]
  const invalidAddress = addresses.find(address => !isAddress(address))
  return invalidAddress === undefined
    ? { ok: true, value: [...new Set(addresses)] }
    : { ok: false, error: { result: 'usage', message: `${source} must be host:port, but is ${invalidAddress}` } }
}
