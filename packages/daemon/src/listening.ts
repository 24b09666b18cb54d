/**
 * Binds the listen addresses.
 */
import type { Server } from 'node:net'
import { createStartupError, type StartupError } from './startup-error.js'
import type { ListenAddress } from './types.js'

export const isStartupError = (error: unknown): error is StartupError =>
  typeof error === 'object' && error !== null && 'name' in error && 'code' in error && String(error.code).startsWith('WV-')

/** @throws StartupError if the address cannot be bound */
export const listen = (server: Server, { host, port }: ListenAddress, flag: string): Promise<void> => new Promise((resolve, reject) => {
  const onError = (error: Error): void => reject(createStartupError('address-in-use', `The address ${host}:${port} of the setting ${flag} cannot be bound: ${error.message}.`))
  server.once('error', onError)
  server.listen({ host, port }, () => {
    server.off('error', onError)
    resolve()
  })
})

/** Port that the server is bound to; the operating system chooses one if the setting is 0. */
export const boundPort = (server: Server): number => {
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : 0
}

/** Converts a bind error of the gossip or peer address; other errors are returned unchanged. */
export const toStartupError = (error: unknown): unknown => {
  if (!(error instanceof Error) || !('syscall' in error) || !['bind', 'listen'].includes(String(error.syscall))) return error
  return createStartupError('address-in-use', `The address of the setting --gossip-listen or --peer-listen cannot be bound: ${error.message}.`)
}
