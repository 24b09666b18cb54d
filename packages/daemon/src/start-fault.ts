/**
 * Reasons for which the daemon does not start.
 */
import { resultCode } from '@wisteriavalve/schema'

/** Why the daemon does not start. */
export type StartFault = { name: 'setting-invalid' | 'setting-missing' | 'address-in-use', code: string, message: string }

export const startFault = (name: StartFault['name'], message: string): StartFault =>
  ({ name, code: resultCode(name).code, message })
