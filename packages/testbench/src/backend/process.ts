/**
 * Starts a backend server stand-in as a process of its own.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { takeLoopbackHost } from '../net.js'
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
  behave: (changes: Partial<BackendBehaviour>) => void
  /** Drains, keeps accepting for graceMs, and exits; resolves after the exit. */
  stop: (graceMs?: number) => Promise<void>
  /** Ends it with SIGKILL; resolves after the exit. */
  kill: () => Promise<void>
  signal: (signal: 'SIGSTOP' | 'SIGCONT') => void
}

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url))

export const startBackendProcess = async (options: BackendOptions, onEvent: (event: BackendEventWithServer) => void = () => {}): Promise<BackendProcess> => {
  const child = fork(MAIN, [JSON.stringify({ host: takeLoopbackHost(), ...options })])
  const exited = once(child, 'exit')
  const ready = new Promise<{ host: string, port: number }>((resolve, reject) => {
    child.on('message', (message: BackendMessage) => {
      if (message.ready) resolve(message.ready)
      if (message.event) onEvent(message.event)
    })
    child.once('exit', code => reject(new Error(`backend server ${options.id} exited with ${code} before it was ready`)))
  })
  const { host, port } = await ready
  const command = (message: BackendCommand): void => { if (child.connected) child.send(message) }

  return {
    id: options.id,
    host,
    port,
    pid: child.pid ?? 0,
    behave: changes => command({ type: 'behave', changes }),
    stop: async (graceMs = 0) => {
      command({ type: 'stop', graceMs })
      await exited
    },
    kill: async () => {
      child.kill('SIGKILL')
      await exited
    },
    signal: signal => { child.kill(signal) }
  }
}
