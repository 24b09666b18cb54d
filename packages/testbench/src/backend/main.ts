/**
 * Main module of a backend server test double that runs as a separate process.
 * The parent controls it over the IPC channel. Each event is sent to the parent
 * immediately, so events before a kill are not lost.
 */
import { createBackend } from './server.js'
import type { BackendCommand } from './process.js'
import type { BackendOptions } from './types.js'

const send = (message: unknown): void => { process.send?.(message) }

const options = JSON.parse(process.argv[2] ?? '{}') as BackendOptions
const backend = await createBackend(options, event => send({ event }))

process.on('message', (command: BackendCommand) => {
  if (command.type === 'behave') backend.setBehaviour(command.changes)
  else backend.stop(command.graceMs).then(() => process.disconnect())
})
process.on('disconnect', () => process.exit(0))
send({ ready: { host: backend.host, port: backend.port } })
