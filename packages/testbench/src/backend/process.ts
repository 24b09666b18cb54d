/**
 * Starts a backend server test double as a separate process.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { allocateLoopbackHost } from '../net.js'
import type { BackendBehaviour, BackendEventWithServer, BackendOptions } from './types.js'

export type BackendCommand =
  | { type: 'behave', changes: Partial<BackendBehaviour> }
  | { type: 'stop', graceMs: number }

type BackendMessage = { event?: BackendEventWithServer, ready?: { host: string, port: number } }

export type BackendProcess = {
  id: string
  host: string
  port: number
  pid: number
  setBehaviour: (changes: Partial<BackendBehaviour>) => void
  /** Drains, accepts connections for another graceMs, and exits. Resolves after the exit. */
  stop: (graceMs?: number) => Promise<void>
  /** Sends SIGKILL. Resolves after the exit. */
  kill: () => Promise<void>
  signal: (signal: 'SIGSTOP' | 'SIGCONT') => void
}

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url))

export const startBackendProcess = async (options: BackendOptions, onEvent: (event: BackendEventWithServer) => void = () => {}): Promise<BackendProcess> => {
  const child = fork(MAIN, [JSON.stringify({ host: allocateLoopbackHost(), ...options })])
  const exited = once(child, 'exit')
  const ready = new Promise<{ host: string, port: number }>((resolve, reject) => {
    child.on('message', (message: BackendMessage) => {
      if (message.ready) resolve(message.ready)
      if (message.event) onEvent(message.event)
    })
    child.once('exit', code => reject(new Error(`backend server ${options.id} exited with code ${code} before it was ready`)))
  })
  const { host, port } = await ready
  const sendCommand = (message: BackendCommand): void => { if (child.connected) child.send(message) }

  return {
    id: options.id,
    host,
    port,
    pid: child.pid ?? 0,
    setBehaviour: changes => sendCommand({ type: 'behave', changes }),
    stop: async (graceMs = 0) => {
      sendCommand({ type: 'stop', graceMs })
      await exited
    },
    kill: async () => {
      child.kill('SIGKILL')
      await exited
    },
    signal: signal => { child.kill(signal) }
  }
}
