/**
 * Errors that prevent the daemon from starting.
 */
import { resultCode } from '@wisteriavalve/schema'

/** Reason for which the daemon does not start, with its result code. */
export type StartupError = { name: 'setting-invalid' | 'setting-missing' | 'address-in-use', code: string, message: string }

export const createStartupError = (name: StartupError['name'], message: string): StartupError =>
  ({ name, code: resultCode(name).code, message })
