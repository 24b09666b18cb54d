/**
 * Backend server stand-in as a process of its own, controlled over the IPC
 * channel of its parent. Events go to the parent as they happen, so that the
 * record outlives a kill.
 */
import { createBackend } from './server.js'
import type { BackendCommand } from './process.js'
import type { BackendOptions } from './types.js'

const send = (message: unknown): void => { process.send?.(message) }

const options = JSON.parse(process.argv[2] ?? '{}') as BackendOptions
const backend = await createBackend(options, event => send({ event }))

process.on('message', (command: BackendCommand) => {
  if (command.type === 'behave') backend.behave(command.changes)
  else backend.stop(command.graceMs).then(() => process.disconnect())
})
process.on('disconnect', () => process.exit(0))
send({ ready: { host: backend.host, port: backend.port } })
